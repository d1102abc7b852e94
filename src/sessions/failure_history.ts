/**
 * Detects endpoints on which tasks fail, and excludes them for a backoff time.
 *
 * A job that can never succeed fails on every endpoint, so only failures of
 * distinct jobs count. An endpoint that reaches the threshold gets no tasks for
 * the backoff time, and is then probed with one task.
 */

/** Number of distinct jobs that fail in a row at which the backoff starts. */
const backoffThreshold = 3;

/** First backoff time, in ms; each further failure doubles it. */
const initialBackoffMs = 1_500;

/** Longest backoff time, in ms. */
const maxBackoffMs = 12_000;

/** Failures of an endpoint since its last success, and its backoff. */
export interface FailureHistory {
  /** Ids of the jobs that have failed there since the last success. */
  readonly failedJobs: ReadonlySet<string>;
  /** Monotonic time until which the endpoint gets no tasks, in ms. */
  readonly avoidUntil: number;
  /** Backoff time that the next failure at the threshold starts, in ms. */
  readonly backoffMs: number;
}

/** History of a new endpoint, and of one whose last run succeeded. */
export const noFailures: FailureHistory = {
  failedJobs: new Set(),
  avoidUntil: 0,
  backoffMs: initialBackoffMs,
};

/**
 * Returns the history after a run of `job` has failed, stalled or been rejected
 * as unhealthy at the monotonic time `now` (ms).
 */
export function withFailure(
  history: FailureHistory,
  job: string,
  now: number,
): FailureHistory {
  const failed = new Set(history.failedJobs).add(job);
  if (failed.size < backoffThreshold) return { ...history, failedJobs: failed };
  const backoffMs = Math.min(maxBackoffMs, history.backoffMs * 2);
  return { failedJobs: failed, avoidUntil: now + history.backoffMs, backoffMs };
}

/** Returns the failures relative to the backoff threshold, 0 to 1. */
export function failureRatio(history: FailureHistory): number {
  return Math.min(1, history.failedJobs.size / backoffThreshold);
}

/**
 * Returns whether an endpoint may receive tasks at the monotonic time `now`
 * (ms). One that has reached the threshold may receive a task only after its
 * backoff, and only while `runCount`, its number of runs that are not
 * long-running, is 0.
 */
export function acceptsTasks(
  history: FailureHistory,
  endpoint: { readonly runCount: number },
  now: number,
): boolean {
  if (history.failedJobs.size < backoffThreshold) return true;
  return now >= history.avoidUntil && endpoint.runCount === 0;
}
