/**
 * Counts the jobs of a queue that have not started.
 *
 * The owner of a shard publishes the counts. While a shard has no owner, or its
 * new one has not published any, they are out of date, and jobs are counted in
 * the shard's rows instead. An owner is known to be alive by the version of its
 * row, which it writes with each commit.
 */
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import {
  cancelKey,
  decodePhase,
  decodeWaitingCounts,
  inboxTable,
  parseProgressRowKey,
  progressRange,
  singleKeyRange,
  waitingCountsKey,
} from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import { readOwner, shardOfPool } from "../cluster/index.ts";
import {
  parseJson,
  partitionsOf,
  type Store,
  type StoreFailure,
  type StoreRow,
  VersionHistory,
} from "../store/index.ts";

/**
 * Age of an owner's last commit from which its counts are not relied on, in ms.
 * It covers the time between two commits and a poll, whose answer tells of a
 * version up to a second after it was sent.
 */
const maxCommitAgeMs = 4_000;

/** The part of a job's row that tells its queue. */
const jobQueueSchema = v.object({ queue: v.string() });

/** Ids of the jobs that have started or ended, by their progress rows. */
function startedJobs(rows: readonly StoreRow[]): ReadonlySet<string> {
  const started = new Set<string>();
  for (const { key, value } of rows) {
    const { job, part } = parseProgressRowKey(key);
    const isQueued = part === undefined && decodePhase(value) === "queued";
    if (!isQueued) started.add(job);
  }
  return started;
}

/** Counts waiting jobs from the store. */
export class WaitingJobs {
  readonly #versions = new VersionHistory();

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
  ) {}

  /** Adds the store's version in the answer to a call sent at `sentAt` (ms). */
  addStoreVersion(version: number, sentAt: number): void {
    this.#versions.add(version, sentAt);
  }

  /** Counts the waiting jobs of a queue in one pool. */
  async count(
    pool: string,
    queue: string,
  ): Promise<Result<number, StoreFailure>> {
    const startedAt = this.clock.now();
    const [owner, published] = await Promise.all([
      readOwner(this.store, shardOfPool(pool)),
      this.store.range(singleKeyRange(waitingCountsKey(pool))),
    ]);
    if (owner.err) return owner;
    if (published.err) return published;
    const counts = decodeWaitingCounts(published.val.rows[0]?.value ?? "");
    const { owner: holder, version } = owner.val;
    const isAlive = holder !== undefined && holder.boot !== "" &&
      this.#versions.isNewerThan(version, startedAt - maxCommitAgeMs);
    this.#versions.add(published.val.version, startedAt);
    if (isAlive && counts?.term === holder.term) {
      return Ok(counts.queues[queue] ?? 0);
    }
    return await this.#countRows(pool, queue);
  }

  /** Counts the jobs in the inbox without a cancellation that have not started. */
  async #countRows(
    pool: string,
    queue: string,
  ): Promise<Result<number, StoreFailure>> {
    const table = inboxTable(pool);
    const [progress, ...inbox] = await Promise.all([
      this.store.range(progressRange(pool)),
      ...partitionsOf(pool).map((partition) =>
        this.store.range({ table, partition })
      ),
    ]);
    if (progress.err) return progress;
    const started = startedJobs(progress.val.rows);
    let waiting = 0;
    for (const read of inbox) {
      if (read.err) return read;
      const keys = new Set(read.val.rows.map(({ key }) => key));
      for (const { key, value } of read.val.rows) {
        if (started.has(key) || keys.has(cancelKey(pool, key).key)) continue;
        if (parseJson(jobQueueSchema, value)?.queue === queue) waiting++;
      }
    }
    return Ok(waiting);
  }
}
