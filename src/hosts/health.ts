/**
 * Health of a host as its owner sees it: a window of recent outcomes decides
 * when the host is suspect, and a probe decides when it is sound again.
 */

const windowSize = 20;
const minSamples = 5;
const suspectBelow = 0.5;
/** Pause between uses of a suspect host that still counts as available. */
const limitedPauseMs = 250;
/** Pause between probes of an ejected host. */
const ejectedPauseMs = 5_000;

/** Recent outcomes of a host. */
export interface Health {
  /** Newest last; true is a success. */
  readonly outcomes: readonly boolean[];
  readonly suspect: boolean;
  /** Whether the pool's budget has granted the ejection. */
  readonly ejected: boolean;
  /** Monotonic time in ms at which a suspect host is probed again. */
  readonly probeAt: number;
}

export const soundHealth: Health = {
  outcomes: [],
  suspect: false,
  ejected: false,
  probeAt: 0,
};

/**
 * Records an outcome at a monotonic time in ms. A suspect host becomes sound
 * with its first success; a failed probe postpones the next one.
 */
export function recordOutcome(
  health: Health,
  success: boolean,
  now: number,
): Health {
  if (health.suspect) {
    const pause = health.ejected ? ejectedPauseMs : limitedPauseMs;
    return success ? soundHealth : { ...health, probeAt: now + pause };
  }
  const outcomes = [...health.outcomes, success].slice(-windowSize);
  const good = outcomes.filter(Boolean).length;
  const suspect = outcomes.length >= minSamples &&
    good / outcomes.length < suspectBelow;
  const probeAt = suspect ? now + limitedPauseMs : 0;
  return { outcomes, suspect, ejected: false, probeAt };
}

/** Ejects a suspect host within the pool's budget. */
export function ejectHost(health: Health, now: number): Health {
  return { ...health, ejected: true, probeAt: now + ejectedPauseMs };
}

/** Slots of a host that may be used at a monotonic time in ms. */
export function usableSlots(health: Health, slots: number, now: number) {
  if (!health.suspect) return slots;
  return now >= health.probeAt ? 1 : 0;
}
