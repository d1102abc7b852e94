/**
 * Follows a table: a full read of its partitions, then the feed, and a full
 * read again whenever the feed has lost its history.
 */
import { Ok, type Result } from "ts-results";
import type { Row, RowChange, Store, StoreFailure } from "./store.ts";

/** What a watcher is told. */
export interface WatchHandler {
  /** The whole table, which replaces all that was known. */
  reset(rows: readonly Row[]): void;
  /** Changes since the last call, in commit order. */
  changed(changes: readonly RowChange[]): void;
}

/** A handler that keeps a map of the table's rows, decoded, by their keys. */
export function mapHandler<T>(
  rows: Map<string, T>,
  decode: (row: Row) => T,
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

/** A position in a table's history. */
export class TableWatch {
  #version: number | undefined;
  readonly #partitions: ReadonlySet<string>;

  constructor(
    private readonly store: Store,
    private readonly table: string,
    partitions: readonly string[],
    private readonly handler: WatchHandler,
  ) {
    this.#partitions = new Set(partitions);
  }

  /** Whether a full read has succeeded, and the feed goes on from it. */
  get isFollowing(): boolean {
    return this.#version !== undefined;
  }

  /** Leaves the feed; the next poll reads the whole table again. */
  leave(): void {
    this.#version = undefined;
  }

  /** Reads what has changed, waiting up to `waitMs` for a change. */
  async poll(waitMs: number): Promise<Result<void, StoreFailure>> {
    if (this.#version === undefined) return await this.#readAll();
    const feed = await this.store.feed(this.table, this.#version, waitMs);
    if (feed.err) {
      if (feed.val.kind === "expired") this.#version = undefined;
      return feed;
    }
    this.#version = feed.val.version;
    const followed = feed.val.changes.filter((c) =>
      this.#partitions.has(c.row.partition)
    );
    if (followed.length > 0) this.handler.changed(followed);
    return Ok(undefined);
  }

  /** The feed goes on from the oldest read, so that nothing is missed. */
  async #readAll(): Promise<Result<void, StoreFailure>> {
    const { table } = this;
    const reads = await Promise.all(
      [...this.#partitions].map((partition) =>
        this.store.range({ table, partition })
      ),
    );
    const rows: Row[] = [];
    let version = Infinity;
    for (const read of reads) {
      if (read.err) return read;
      rows.push(...read.val.rows);
      version = Math.min(version, read.val.version);
    }
    this.#version = version;
    this.handler.reset(rows);
    return Ok(undefined);
  }
}
