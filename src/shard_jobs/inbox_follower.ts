/** Follows the inbox of a shard, and logs when its polls fail and succeed again. */
import { inboxTable, jobOfCancelKey } from "../batch/index.ts";
import { delay } from "../clock/index.ts";
import {
  chunks,
  partitionsOf,
  type StoreRow,
  type StoreRowChange,
  TableWatch,
} from "../store/index.ts";
import type { ShardDependencies } from "../scheduler/index.ts";

/**
 * Maximum time that a poll of the inbox waits for a change, in ms. A poll that
 * is waiting when the store drops its history may see no change until its wait
 * is over.
 */
const inboxWaitMs = 250;

/** Pause after a failed poll, in ms. */
const inboxRetryPauseMs = 60;

/** Polls of the inbox without an answer after which it is read anew. */
const maxInboxFeedFailures = 2;

/**
 * Rows of a whole inbox that are applied in one turn of the event loop, so that
 * heartbeats go on meanwhile.
 */
const rowsPerTurn = 100;

/** Receives the content of the inbox. */
export interface InboxHandler {
  /** Prepares for the rows of a full read, which follow in parts. */
  beginReset(rows: readonly StoreRow[]): void;
  /** Applies some of these rows; cancellations come first. */
  applyRows(rows: readonly StoreRow[]): void;
  /** Applies the changes since the last call, in commit order. */
  changed(changes: readonly StoreRowChange[]): void;
  /** Whether the owner has stopped. */
  isStopped(): boolean;
}

/** Whether a row is the cancellation of a job. */
function isCancellation({ key }: StoreRow): boolean {
  return jobOfCancelKey(key) !== undefined;
}

/** Dependencies of an {@link InboxFollower}. */
export type InboxFollowerDependencies = Pick<
  ShardDependencies,
  "shard" | "store" | "clock" | "log" | "lease"
>;

/** Polls the inbox of one shard. */
export class InboxFollower {
  /** The watch of the inbox table. */
  readonly watch: TableWatch;
  /** Monotonic time in ms since which polls have failed. */
  #lostAt: number | undefined;

  constructor(
    private readonly deps: InboxFollowerDependencies,
    private readonly handler: InboxHandler,
  ) {
    const { shard, store } = deps;
    const options = { maxFeedFailures: maxInboxFeedFailures };
    const partitions = partitionsOf(shard);
    const table = inboxTable(shard);
    this.watch = new TableWatch(store, table, partitions, {
      reset: (rows) => this.#reset(rows),
      changed: (changes) => handler.changed(changes),
    }, options);
  }

  /** Polls the inbox once; returns the pause until the next poll, in ms. */
  async poll(): Promise<number> {
    const polled = await this.watch.poll(inboxWaitMs);
    // After dropped history no pause is needed, because the next poll reads the
    // whole inbox.
    const isFailed = polled.err && polled.val.kind !== "expired";
    this.#logState(isFailed ? polled.val.message : undefined);
    return isFailed ? inboxRetryPauseMs : 0;
  }

  /**
   * Applies a full read in parts. A job whose cancellation came in a later part
   * could be started in between, so these come first.
   */
  async #reset(rows: readonly StoreRow[]): Promise<void> {
    const { handler } = this;
    handler.beginReset(rows);
    const cancellations = rows.filter(isCancellation);
    const others = rows.filter((row) => !isCancellation(row));
    for (const part of chunks([...cancellations, ...others], rowsPerTurn)) {
      if (handler.isStopped()) return;
      handler.applyRows(part);
      await delay(this.deps.clock, 0);
    }
  }

  /** Logs that polls of the inbox begin to fail, or succeed again. */
  #logState(failure: string | undefined): void {
    const { clock, log, shard, lease } = this.deps;
    const { term } = lease;
    if (failure !== undefined && this.#lostAt === undefined) {
      this.#lostAt = clock.now();
      log.decision("inbox-lost", { shard, term, message: failure });
    } else if (failure === undefined && this.#lostAt !== undefined) {
      const lostMs = Math.round(clock.now() - this.#lostAt);
      this.#lostAt = undefined;
      log.decision("inbox-back", { shard, term, lostMs });
    }
  }
}
