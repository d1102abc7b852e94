/**
 * Health of a host, tracked by the entry that owns it.
 *
 * A host becomes suspect when too many of its recent outcomes are failures.
 * A suspect host receives one request at a time as a probe, and is healthy
 * again after the first success.
 */

/** Number of recent outcomes that are kept. */
const maxOutcomes = 20;
/** A host is not suspect before it has this many outcomes. */
const minOutcomes = 5;
/** A host with a lower share of successes is suspect. */
const minSuccessRate = 0.5;
/** Interval in ms between probes of a suspect host that is not ejected. */
const suspectProbeIntervalMs = 250;
/** Interval in ms between probes of an ejected host. */
const ejectedProbeIntervalMs = 5_000;

/** Recent outcomes of a host, and the state derived from them. */
export interface Health {
  /** Newest last; true is a success. */
  readonly outcomes: readonly boolean[];
  /** Whether the host fails most of its work. */
  readonly suspect: boolean;
  /** Whether the host is ejected; its pool's budget must allow that. */
  readonly ejected: boolean;
  /** Monotonic time in ms from which a suspect host is probed again. */
  readonly nextProbeAt: number;
}

/** Health of a host without outcomes; a recovered host returns to it. */
export const initialHealth: Health = {
  outcomes: [],
  suspect: false,
  ejected: false,
  nextProbeAt: 0,
};

/**
 * Records an outcome at the monotonic time `now` in ms. The first success of a
 * suspect host makes it healthy; a failed probe delays the next one.
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

/**
 * Marks a suspect host as ejected at the monotonic time `now` in ms. The caller
 * has checked the pool's budget.
 */
export function markEjected(health: Health, now: number): Health {
  return {
    ...health,
    ejected: true,
    nextProbeAt: now + ejectedProbeIntervalMs,
  };
}

/**
 * Number of slots that may be used at the monotonic time `now` in ms: all of a
 * healthy host, and of a suspect host one when a probe is due, else none.
 */
export function usableSlots(health: Health, slots: number, now: number) {
  if (!health.suspect) return slots;
  return now >= health.nextProbeAt ? 1 : 0;
}
