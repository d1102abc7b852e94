/**
 * Suspicion of endpoints that fail what they start while others do not.
 *
 * A job that can never be done fails everywhere, so only failures of distinct
 * jobs count against an endpoint. A suspected endpoint is left alone for a
 * time, then tried with a single task.
 */

/** Distinct jobs that must fail in a row before an endpoint is left alone. */
const backoffThreshold = 3;

/** Time for which a suspected endpoint gets no work at first, in ms. */
const initialBackoffMs = 1_500;

/** Longest such time, in ms. */
const maxBackoffMs = 12_000;

/** What is held against one endpoint. */
export interface Suspicion {
  /** Jobs of the failures since the last success. */
  readonly failed: ReadonlySet<string>;
  /** Steady time until which it gets no work. */
  readonly avoidUntil: number;
  readonly backoffMs: number;
}

/** Nothing is held against the endpoint; so it is after each success. */
export const noSuspicion: Suspicion = {
  failed: new Set(),
  avoidUntil: 0,
  backoffMs: initialBackoffMs,
};

/** After a run that failed or stood still. */
export function afterFailure(
  s: Suspicion,
  job: string,
  now: number,
): Suspicion {
  const failed = new Set(s.failed).add(job);
  if (failed.size < backoffThreshold) return { ...s, failed };
  const backoffMs = Math.min(maxBackoffMs, s.backoffMs * 2);
  return { failed, avoidUntil: now + s.backoffMs, backoffMs };
}

/** Degree of suspicion from 0 to 1. */
export function failureRatio(s: Suspicion): number {
  return Math.min(1, s.failed.size / backoffThreshold);
}

/** Whether an endpoint with these runs may get work. */
export function mayGetWork(
  s: Suspicion,
  endpoint: { readonly runCount: number },
  now: number,
): boolean {
  if (s.failed.size < backoffThreshold) return true;
  return now >= s.avoidUntil && endpoint.runCount === 0;
}
