/**
 * Health of a host as its owner sees it: a window of recent outcomes decides
 * when the host is suspect, and a probe decides when it is sound again.
 */

const maxOutcomes = 20;
const minOutcomes = 5;
const minSuccessRate = 0.5;
/** Pause between uses of a suspect host that still counts as available. */
const suspectProbeIntervalMs = 250;
/** Pause between probes of an ejected host. */
const ejectedProbeIntervalMs = 5_000;

/** Recent outcomes of a host. */
export interface Health {
  /** Newest last; true is a success. */
  readonly outcomes: readonly boolean[];
  readonly suspect: boolean;
  /** Whether the pool's budget has granted the ejection. */
  readonly ejected: boolean;
  /** Monotonic time in ms at which a suspect host is probed again. */
  readonly nextProbeAt: number;
}

export const initialHealth: Health = {
  outcomes: [],
  suspect: false,
  ejected: false,
  nextProbeAt: 0,
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
    const intervalMs = health.ejected
      ? ejectedProbeIntervalMs
      : suspectProbeIntervalMs;
    return success
      ? initialHealth
      : { ...health, nextProbeAt: now + intervalMs };
  }
  const outcomes = [...health.outcomes, success].slice(-maxOutcomes);
  const successes = outcomes.filter(Boolean).length;
  const suspect = outcomes.length >= minOutcomes &&
    successes / outcomes.length < minSuccessRate;
  const nextProbeAt = suspect ? now + suspectProbeIntervalMs : 0;
  return { outcomes, suspect, ejected: false, nextProbeAt };
}

/** Ejects a suspect host within the pool's budget. */
export function markEjected(health: Health, now: number): Health {
  return {
    ...health,
    ejected: true,
    nextProbeAt: now + ejectedProbeIntervalMs,
  };
}

/** Slots of a host that may be used at a monotonic time in ms. */
export function usableSlots(health: Health, slots: number, now: number) {
  if (!health.suspect) return slots;
  return now >= health.nextProbeAt ? 1 : 0;
}
