/** Typed failures: a numbered code, a message and structured details. */
import { Err } from "ts-results";
import type { ResultCode } from "./result_code.ts";

/** One invalid value. */
export interface Issue {
  /** Path of the value, for example `entry.zone` or `class fitters.weight`. */
  readonly key: string;
  /** The value that was given, as text. */
  readonly value: string;
  /** Which values are allowed. */
  readonly allowed: string;
}

/** A row that was edited concurrently, with both edits. */
export interface RowConflict {
  readonly row: string;
  /** The value in the rejected edit. */
  readonly yours: unknown;
  /** The stored value; null if the row was removed. */
  readonly theirs: unknown;
  /** Version of the stored row. */
  readonly theirVersion: number;
}

/** A failed operation. */
export interface Failure {
  readonly code: ResultCode;
  readonly message: string;
  /** Invalid values, for a failed validation. */
  readonly issues?: readonly Issue[];
  /** Rows that were edited concurrently. */
  readonly conflicts?: readonly RowConflict[];
  /** Time in s after which a refused request may succeed, if it is known. */
  readonly retryAfterS?: number;
}

/** Creates a failed `Result`. */
export function fail(
  code: ResultCode,
  message: string,
  details: Pick<Failure, "issues" | "conflicts" | "retryAfterS"> = {},
): Err<Failure> {
  return new Err({ code, message, ...details });
}

/** Returns the message of a thrown value. */
export function describeError(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
