/**
 * Interface of the transactional row store that all entries share.
 *
 * Rows belong to tables and are grouped into partitions; a transaction is
 * limited to one partition. A single counter assigns each committed transaction
 * its version, which becomes the version of every row that it puts.
 */
import type { Result } from "ts-results";

/** Full key of a row. */
export interface StoreRowKey {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** A row as read. */
export interface StoreRow extends StoreRowKey {
  readonly value: string;
  readonly version: number;
}

/** A row to write. */
export interface RowPut extends StoreRowKey {
  readonly value: string;
}

/** Precondition on a row's version; 0 means that the row does not exist. */
export interface RowCheck extends StoreRowKey {
  readonly version: number;
}

/**
 * Changes to one partition that are applied atomically if all checks hold. With
 * rows of several partitions it fails as `invalid`.
 */
export interface StoreTransaction {
  readonly checks: readonly RowCheck[];
  readonly puts: readonly RowPut[];
  readonly removes: readonly StoreRowKey[];
}

/** Maximum size of a row's value, in bytes. */
export const maxRowBytes = 65_536;

/** Maximum entries (checks, puts and removes) of one transaction. */
export const maxTransactionEntries = 100;

/**
 * Maximum total size of the values in one transaction, in bytes. The platform
 * accepts bodies of 1 MB, which contain the keys and the values in base64 (4/3
 * of their size).
 */
export const maxTransactionBytes = 700_000;

/** Outcome of a transaction that the store has answered. */
export type StoreCommitOutcome =
  | { readonly kind: "committed"; readonly version: number }
  /** A check failed; `rows` are the current rows of all checks. */
  | { readonly kind: "conflict"; readonly rows: readonly StoreRow[] };

/** A failed call. */
export interface StoreFailure {
  /**
   * `refused`: the call had no effect. `unknown`: it may have taken effect, or
   * may still do so. `invalid`: the store says that it does not accept such a
   * call, so that there is no use in repeating it; it proves no more than
   * `unknown` that the call had no effect. `expired`: the feed's history no longer
   * reaches back to the requested version.
   */
  readonly kind: "refused" | "unknown" | "invalid" | "expired";
  readonly message: string;
}

/** A range of keys in one partition of a table. */
export interface RangeQuery {
  readonly table: string;
  readonly partition: string;
  /** First key of the range, inclusive; absent for no lower bound. */
  readonly from?: string;
  /** End of the range, exclusive; absent for no upper bound. */
  readonly to?: string;
  /**
   * Monotonic time in ms from which a further page is of no use; the read then
   * fails as refused. Absent for none.
   */
  readonly giveUpAt?: number;
}

/**
 * The rows of a range, in ascending order of keys. A long range is read in
 * pages, each a snapshot of its own.
 */
export interface RangeResult {
  readonly rows: readonly StoreRow[];
  /**
   * Version of the store at the oldest snapshot; the changes after it complete
   * the rows.
   */
  readonly version: number;
}

/** One changed row in a feed. */
export type StoreRowChange =
  | { readonly kind: "put"; readonly row: StoreRow }
  | { readonly kind: "removed"; readonly row: StoreRowKey };

/** Changes in commit order; pass `version` to the next call to resume. */
export interface FeedResult {
  readonly changes: readonly StoreRowChange[];
  readonly version: number;
}

/** The store's calls. None of them throws. */
export interface Store {
  /** Applies a transaction. */
  commit(
    tx: StoreTransaction,
  ): Promise<Result<StoreCommitOutcome, StoreFailure>>;
  /** Reads a whole range; the read is linearizable. */
  range(query: RangeQuery): Promise<Result<RangeResult, StoreFailure>>;
  /**
   * Returns a table's changes after a version, waiting up to `waitMs` for the
   * first one. Fails with `expired` if the history no longer reaches back that
   * far.
   */
  feed(
    table: string,
    after: number,
    waitMs: number,
  ): Promise<Result<FeedResult, StoreFailure>>;
}
