/**
 * Follows a table: a full read of its partitions, then its change feed, and
 * another full read whenever the feed's history has expired.
 */
import { Ok, type Result } from "ts-results";
import type {
  RangeResult,
  Store,
  StoreFailure,
  StoreRow,
  StoreRowChange,
} from "./store.ts";

/** Receives the content of a followed table. */
export interface WatchHandler {
  /**
   * Replaces all rows with the result of a full read. May take several turns of
   * the event loop; no changes are delivered meanwhile.
   */
  reset(rows: readonly StoreRow[]): void | Promise<void>;
  /** Applies the changes since the last call, in commit order. */
  changed(changes: readonly StoreRowChange[]): void;
}

/** Returns a handler that maintains a map from keys to decoded rows. */
export function mapHandler<T>(
  rows: Map<string, T>,
  decode: (row: StoreRow) => T,
): WatchHandler {
  return {
    reset: (newRows) => {
      rows.clear();
      for (const row of newRows) rows.set(row.key, decode(row));
    },
    changed: (changes) => {
      for (const change of changes) {
        if (change.kind === "removed") rows.delete(change.row.key);
        else rows.set(change.row.key, decode(change.row));
      }
    },
  };
}

/** Options of a {@link TableWatch}. */
export interface WatchOptions {
  /**
   * Number of consecutive polls of the feed without an answer after which the
   * rows are read anew. The changes since a version arrive in one answer, which
   * may take longer than its timeout over a slow link; a read arrives in pages.
   */
  readonly maxFeedFailures: number;
}

/** Follows some partitions of a table, polled by its user. */
export class TableWatch {
  /** Version that the feed resumes from; undefined before a full read. */
  #version: number | undefined;
  /** Number of full reads; a poll that was sent before the last is stale. */
  #reads = 0;
  readonly #partitions: ReadonlySet<string>;
  /** Consecutive polls of the feed without an answer. */
  #feedFailures = 0;
  /** Partitions that a full read which has failed in part has read. */
  readonly #partialRead = new Map<string, RangeResult>();

  constructor(
    private readonly store: Store,
    private readonly table: string,
    partitions: readonly string[],
    private readonly handler: WatchHandler,
    private readonly options: WatchOptions = { maxFeedFailures: Infinity },
  ) {
    this.#partitions = new Set(partitions);
  }

  /** Whether a full read has succeeded and the feed can resume from it. */
  get isFollowing(): boolean {
    return this.#version !== undefined;
  }

  /** Version up to which changes have been delivered; undefined for none. */
  get version(): number | undefined {
    return this.#version;
  }

  /** Stops following; the next poll reads the whole table again. */
  stopFollowing(): void {
    this.#version = undefined;
  }

  /** Delivers changes to the handler, waiting up to `waitMs` for the first. */
  async poll(waitMs: number): Promise<Result<void, StoreFailure>> {
    if (this.#version === undefined) return await this.refresh();
    if (this.#feedFailures >= this.options.maxFeedFailures) {
      this.#feedFailures = 0;
      return await this.refresh();
    }
    const reads = this.#reads;
    const feed = await this.store.feed(this.table, this.#version, waitMs);
    // The full read since is newer, and the next poll resumes from it.
    if (reads !== this.#reads) return feed.map(() => undefined);
    if (feed.err) {
      if (feed.val.kind === "expired") this.#version = undefined;
      if (feed.val.kind === "unknown") this.#feedFailures++;
      return feed;
    }
    this.#feedFailures = 0;
    this.#version = feed.val.version;
    const followed = feed.val.changes.filter((c) =>
      this.#partitions.has(c.row.partition)
    );
    if (followed.length > 0) this.handler.changed(followed);
    return Ok(undefined);
  }

  /**
   * Reads all partitions. The feed resumes from the oldest of these reads, so
   * that no change is missed; a call after a failed one reads what is missing.
   * May be called during a poll. A read that is older
   * than what the feed has delivered meanwhile is ignored.
   */
  async refresh(): Promise<Result<void, StoreFailure>> {
    const partitions = [...this.#partitions];
    const reads = await Promise.all(partitions.map((p) => this.#read(p)));
    const rows: StoreRow[] = [];
    let version = Infinity;
    for (const read of reads) {
      if (read.err) return read;
      rows.push(...read.val.rows);
      version = Math.min(version, read.val.version);
    }
    this.#partialRead.clear();
    if (this.#version !== undefined && this.#version > version) {
      return Ok(undefined);
    }
    this.#version = version;
    this.#reads++;
    await this.handler.reset(rows);
    return Ok(undefined);
  }

  /** Reads a partition, unless the last full read got that far before it failed. */
  async #read(partition: string): Promise<Result<RangeResult, StoreFailure>> {
    const earlier = this.#partialRead.get(partition);
    if (earlier !== undefined) return Ok(earlier);
    const read = await this.store.range({ table: this.table, partition });
    if (read.ok) this.#partialRead.set(partition, read.val);
    return read;
  }
}
