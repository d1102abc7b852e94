/**
 * Follows one partition of a table: a full read, then the feed, and a full
 * read again whenever the feed has lost its history.
 */
import { Ok, type Result } from "ts-results";
import type { Row, RowChange, Store, StoreFailure } from "./store.ts";

/** What a watcher is told. */
export interface WatchHandler {
  /** The whole partition, which replaces all that was known. */
  reset(rows: readonly Row[]): void;
  /** Changes since the last call, in commit order. */
  changed(changes: readonly RowChange[]): void;
}

/** A position in a table's history. */
export class TableWatch {
  #version: number | undefined;

  constructor(
    private readonly store: Store,
    private readonly table: string,
    private readonly partition: string,
    private readonly handler: WatchHandler,
  ) {}

  /** Starts over with a full read at the next poll. */
  restart(): void {
    this.#version = undefined;
  }

  /** Whether a full read has succeeded since the last restart. */
  get isFollowing(): boolean {
    return this.#version !== undefined;
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
    const own = feed.val.changes.filter((c) =>
      c.row.partition === this.partition
    );
    if (own.length > 0) this.handler.changed(own);
    return Ok(undefined);
  }

  async #readAll(): Promise<Result<void, StoreFailure>> {
    const { table, partition } = this;
    const all = await this.store.range({ table, partition });
    if (all.err) return all;
    this.#version = all.val.version;
    this.handler.reset(all.val.rows);
    return Ok(undefined);
  }
}
