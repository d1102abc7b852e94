/**
 * Removes the rows of jobs that have been final for long.
 *
 * A job's rows are in two partitions, and a transaction is limited to one. Its
 * rows in the inbox go first, once its final state is committed. Its progress
 * goes when they are known to be gone: a job that is in the inbox and has no
 * progress would run again.
 */
import { cancelKey, inboxKey } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import {
  maxTransactionEntries,
  type RowCheck,
  type Store,
  type StoreRow,
} from "../store/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import type { JobRegistry, TrackedJob } from "./job_registry.ts";
import { removalBatches } from "./removal_batches.ts";

/** Time for which a final job can still be queried, in ms. */
const finalJobRetentionMs = 150_000;

/** Minimum time between two removals, in ms; each takes several calls. */
const minRemovalIntervalMs = 10_000;

/** Entries that the removal of a job takes: a check and two removes. */
const entriesPerJob = 3;

/** Maximum number of jobs in one transaction. */
const maxJobsPerRemoval = Math.floor(maxTransactionEntries / entriesPerJob);

/** Dependencies of a {@link JobExpiry}. */
export interface JobExpiryDependencies {
  readonly shard: string;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly jobs: JobRegistry;
  /** Calls the action once the present state of all jobs is committed. */
  readonly whenCommitted: (action: () => void) => void;
  /** Removes a progress row in the shard's next commit. */
  readonly removeProgress: (key: string) => void;
}

/** The jobs whose row in the inbox is the one that was read. */
function storedJobs(
  jobs: readonly TrackedJob[],
  rows: readonly StoreRow[],
): readonly TrackedJob[] {
  const versions = new Map(rows.map(({ key, version }) => [key, version]));
  return jobs.filter(({ spec, inboxVersion }) =>
    versions.get(spec.id) === inboxVersion
  );
}

/** Removes expired jobs of one shard; {@link pass} is called periodically. */
export class JobExpiry {
  #isRemoving = false;
  #removedAt = -Infinity;

  constructor(private readonly deps: JobExpiryDependencies) {}

  /** Starts to remove the jobs that have expired at the monotonic time `now`. */
  pass(now: number): void {
    if (this.#isRemoving || now - this.#removedAt < minRemovalIntervalMs) {
      return;
    }
    const expired = this.deps.jobs.expired(now, finalJobRetentionMs);
    if (expired.length === 0) return;
    this.#isRemoving = true;
    this.deps.whenCommitted(() => this.#remove(expired));
  }

  async #remove(expired: readonly TrackedJob[]): Promise<void> {
    const { shard, clock } = this.deps;
    const batches = removalBatches(
      expired,
      ({ spec }) => inboxKey(shard, spec.id).partition,
      maxJobsPerRemoval,
    );
    for (const jobs of batches) await this.#removeFromInbox(jobs);
    this.#removedAt = clock.now();
    this.#isRemoving = false;
  }

  /**
   * Removes the rows of jobs in one partition of the inbox. If the rows of some
   * are gone already, or are those of another job with the same id, removes
   * those of the others.
   */
  async #removeFromInbox(jobs: readonly TrackedJob[]): Promise<void> {
    const { shard, store, log } = this.deps;
    const checks = jobs.map(({ spec, inboxVersion }): RowCheck => (
      { ...inboxKey(shard, spec.id), version: inboxVersion }
    ));
    const removes = jobs.flatMap(({ spec }) => [
      inboxKey(shard, spec.id),
      cancelKey(shard, spec.id),
    ]);
    const outcome = await store.commit({ checks, puts: [], removes });
    log.decision("jobs-expired", {
      shard,
      jobs: jobs.length,
      outcome: outcome.val.kind,
      message: outcome.err ? outcome.val.message : undefined,
    });
    if (outcome.err) return;
    if (outcome.val.kind === "committed") return this.#forget(jobs);
    const stored = storedJobs(jobs, outcome.val.rows);
    this.#forget(jobs.filter((job) => !stored.includes(job)));
    if (stored.length > 0 && stored.length < jobs.length) {
      await this.#removeFromInbox(stored);
    }
  }

  /** Removes the progress of jobs that are no longer in the inbox. */
  #forget(jobs: readonly TrackedJob[]): void {
    for (const { spec } of jobs) {
      for (const key of this.deps.jobs.forget(spec.id)) {
        this.deps.removeProgress(key);
      }
    }
  }
}
