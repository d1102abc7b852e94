/**
 * Counts the jobs of a queue that have not started.
 *
 * The owner of a shard publishes the counts. While a shard has no owner, or its
 * new one has not published any, they are out of date, and jobs are counted in
 * the shard's rows instead. An owner is known to be alive by the version of its
 * row, which it writes with each commit.
 */
import { Ok, type Result } from "ts-results";
import {
  decodeWaitingCounts,
  singleKeyRange,
  waitingCountsKey,
} from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import { readOwner, shardOfPool } from "../cluster/index.ts";
import {
  type Store,
  type StoreFailure,
  VersionHistory,
} from "../store/index.ts";
import { RowCounts } from "./row_counts.ts";

/**
 * Age of an owner's last commit from which its counts are not relied on, in ms.
 * It covers the time between two commits and a poll, whose answer tells of a
 * version up to a second after it was sent.
 */
const maxCommitAgeMs = 4_000;

/** Counts waiting jobs from the store. */
export class WaitingJobs {
  readonly #versions = new VersionHistory();
  readonly #rows: RowCounts;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
  ) {
    this.#rows = new RowCounts(store, clock);
  }

  /** Adds the store's version in the answer to a call sent at `sentAt` (ms). */
  addStoreVersion(version: number, sentAt: number): void {
    this.#versions.add(version, sentAt, this.clock.now());
  }

  /**
   * Counts the waiting jobs of a queue in one pool; undefined if they can't be
   * counted before their owner does.
   */
  async count(
    pool: string,
    queue: string,
  ): Promise<Result<number | undefined, StoreFailure>> {
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
    this.addStoreVersion(published.val.version, startedAt);
    if (isAlive && counts?.term === holder.term) {
      return Ok(counts.queues[queue] ?? 0);
    }
    const counted = await this.#rows.count(pool);
    return counted.map((queues) => queues && (queues.get(queue) ?? 0));
  }
}
