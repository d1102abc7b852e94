/**
 * The transactional row store that all entries share.
 *
 * Rows live in tables and are grouped in partitions; a transaction touches
 * one partition. Every committed transaction gets the next version of a
 * single counter, which becomes the version of each row that it puts.
 */
import type { Result } from "ts-results";

/** Address of a row. */
export interface RowKey {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** A row as it was read. */
export interface Row extends RowKey {
  readonly value: string;
  readonly version: number;
}

/** A row to write. */
export interface RowPut extends RowKey {
  readonly value: string;
}

/** Version that a row must have; 0 means that the row does not exist. */
export interface RowCheck extends RowKey {
  readonly version: number;
}

/** Changes that are applied together or not at all, in one partition. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly puts: readonly RowPut[];
  readonly removes: readonly RowKey[];
}

/** Most entries (checks, puts and removes) of one transaction. */
export const maxTransactionEntries = 100;

/**
 * Most bytes of the values in one transaction. The platform takes 1 MB of
 * body, in which values stand as base64 (4/3) beside the keys.
 */
export const maxTransactionBytes = 700_000;

/** Outcome of a transaction that the store has answered. */
export type CommitOutcome =
  | { readonly kind: "committed"; readonly version: number }
  /** A check failed; `rows` are the present rows of the checks. */
  | { readonly kind: "conflict"; readonly rows: readonly Row[] };

/** A call without a usable answer. */
export interface StoreFailure {
  /**
   * `refused`: the store did nothing. `unknown`: the call may have been
   * performed, or may still be. `expired`: the feed's history is gone.
   */
  readonly kind: "refused" | "unknown" | "expired";
  readonly message: string;
}

/** A range of one table's partition, in ascending order of keys. */
export interface RangeQuery {
  readonly table: string;
  readonly partition: string;
  /** First key of the range. */
  readonly from?: string;
  /** First key after the range. */
  readonly to?: string;
}

/** Rows as of one moment. */
export interface RangeResult {
  readonly rows: readonly Row[];
  /** Version of the store at that moment. */
  readonly version: number;
}

/** One changed row of a feed. */
export type RowChange =
  | { readonly kind: "put"; readonly row: Row }
  | { readonly kind: "removed"; readonly row: RowKey };

/** Changes in commit order; the feed resumes from `version`. */
export interface FeedResult {
  readonly changes: readonly RowChange[];
  readonly version: number;
}

/** Store calls. None of them throws. */
export interface Store {
  /** Applies a transaction. */
  commit(tx: Transaction): Promise<Result<CommitOutcome, StoreFailure>>;
  /** Reads a whole range, linearizably. */
  range(query: RangeQuery): Promise<Result<RangeResult, StoreFailure>>;
  /**
   * Waits up to `waitMs` for changes of a table after a version. Fails with
   * `expired` when the history no longer reaches back that far.
   */
  feed(
    table: string,
    after: number,
    waitMs: number,
  ): Promise<Result<FeedResult, StoreFailure>>;
}
