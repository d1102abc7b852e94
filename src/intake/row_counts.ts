/**
 * Counts the waiting jobs of a pool in its rows, while no owner publishes their
 * number.
 *
 * That takes a read of all the pool's rows, so requests share one, and it is
 * given up when it takes long: over a narrow link it would delay the heartbeats
 * and the takeover that make it needless.
 */
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import {
  cancelKey,
  decodePhase,
  inboxTable,
  parseProgressRowKey,
  progressRange,
} from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import {
  parseJson,
  partitionsOf,
  type Store,
  type StoreFailure,
  type StoreRow,
} from "../store/index.ts";

/** Time after which a read is given up, in ms. */
const maxReadMs = 1_500;

/** Time for which no other is begun then, in ms. */
const pauseMs = 5_000;

/** Age up to which a read under way is shared, in ms. */
const maxSharedAgeMs = 500;

/** The part of a job's row that tells its queue. */
const jobQueueSchema = v.object({ queue: v.string() });

/** Numbers of waiting jobs by queue. */
type QueueCounts = ReadonlyMap<string, number>;

/** A read under way; its result is undefined if it was given up. */
interface PendingRead {
  readonly startedAt: number;
  readonly counts: Promise<Result<QueueCounts | undefined, StoreFailure>>;
}

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

/** Adds the jobs of a partition that have no cancellation and not started. */
function addWaiting(
  counts: Map<string, number>,
  pool: string,
  rows: readonly StoreRow[],
  started: ReadonlySet<string>,
): void {
  const keys = new Set(rows.map(({ key }) => key));
  for (const { key, value } of rows) {
    if (started.has(key) || keys.has(cancelKey(pool, key).key)) continue;
    const queue = parseJson(jobQueueSchema, value)?.queue;
    if (queue !== undefined) counts.set(queue, (counts.get(queue) ?? 0) + 1);
  }
}

/** Counts jobs in rows, one read of a pool at a time. */
export class RowCounts {
  readonly #pending = new Map<string, PendingRead>();
  /** Monotonic time in ms until which a pool's rows are not read. */
  readonly #pausedUntil = new Map<string, number>();

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
  ) {}

  /**
   * The numbers of a pool's waiting jobs by queue; undefined if its rows can't
   * be read in reasonable time.
   */
  async count(
    pool: string,
  ): Promise<Result<QueueCounts | undefined, StoreFailure>> {
    const now = this.clock.now();
    if (now < (this.#pausedUntil.get(pool) ?? 0)) return Ok(undefined);
    const pending = this.#pending.get(pool);
    if (pending !== undefined) {
      const counts = await pending.counts;
      const isRecent = now - pending.startedAt <= maxSharedAgeMs;
      return isRecent ? counts : await this.count(pool);
    }
    const read = { startedAt: now, counts: this.#read(pool, now + maxReadMs) };
    this.#pending.set(pool, read);
    const counts = await read.counts;
    if (this.#pending.get(pool) === read) this.#pending.delete(pool);
    return counts;
  }

  async #read(
    pool: string,
    giveUpAt: number,
  ): Promise<Result<QueueCounts | undefined, StoreFailure>> {
    const table = inboxTable(pool);
    const [progress, ...inbox] = await Promise.all([
      this.store.range({ ...progressRange(pool), giveUpAt }),
      ...partitionsOf(pool).map((partition) =>
        this.store.range({ table, partition, giveUpAt })
      ),
    ]);
    if (this.clock.now() >= giveUpAt) {
      this.#pausedUntil.set(pool, this.clock.now() + pauseMs);
      return Ok(undefined);
    }
    if (progress.err) return progress;
    const started = startedJobs(progress.val.rows);
    const counts = new Map<string, number>();
    for (const read of inbox) {
      if (read.err) return read;
      addWaiting(counts, pool, read.val.rows, started);
    }
    return Ok(counts);
  }
}
