/**
 * The writes of a submission.
 *
 * A job of a queue that is served by its home pool is stored in the home's inbox
 * by one write. If the queue has been sent to another pool, a forward in the
 * home's inbox comes first: it binds all entries, whatever catalog they follow,
 * to one pool for the job.
 */
import {
  cancelKey,
  encodeForward,
  forwardedTo,
  inboxKey,
} from "../batch/index.ts";
import type { StoreCommitOutcome, StoreTransaction } from "../store/index.ts";

/** A write of a submission: a forward in the home's inbox, or the job itself. */
export type SubmissionStep =
  | { readonly kind: "forward"; readonly home: string; readonly to: string }
  | { readonly kind: "job"; readonly pool: string };

/** The first write of a job to a queue with these pools. */
export function firstStep(home: string, pool: string): SubmissionStep {
  return home === pool
    ? { kind: "job", pool }
    : { kind: "forward", home, to: pool };
}

/**
 * The transaction of a step; `value` is that of the job's row. A forward is not
 * written for a job whose cancellation stands in the home's inbox, because the
 * owner there can't cancel it in the other pool.
 */
export function transactionOf(
  step: SubmissionStep,
  job: string,
  value: string,
): StoreTransaction {
  const pool = step.kind === "forward" ? step.home : step.pool;
  const key = inboxKey(pool, job);
  const absent = [{ ...key, version: 0 }];
  if (step.kind === "job") {
    return { checks: absent, puts: [{ ...key, value }], removes: [] };
  }
  const checks = [...absent, { ...cancelKey(pool, job), version: 0 }];
  const puts = [{ ...key, value: encodeForward(step.to) }];
  return { checks, puts, removes: [] };
}

/**
 * The step after a step that the store has answered; `stored` if the job is
 * stored, and the same step if the answer doesn't say what is stored. A job whose
 * cancellation stands in the home's inbox is stored there, to be cancelled.
 */
export function nextStep(
  step: SubmissionStep,
  job: string,
  outcome: StoreCommitOutcome,
): SubmissionStep | "stored" {
  if (outcome.kind === "committed") {
    return step.kind === "job" ? "stored" : { kind: "job", pool: step.to };
  }
  const row = outcome.rows.find(({ key }) => key === job);
  if (row !== undefined) {
    const pool = forwardedTo(row.value);
    return pool === undefined ? "stored" : { kind: "job", pool };
  }
  const isCancelled = step.kind === "forward" && outcome.rows.length > 0;
  return isCancelled ? { kind: "job", pool: step.home } : step;
}
