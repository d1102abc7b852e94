/** Typed failures: a numbered code, a message, and structured details. */
import { Err } from "ts-results";
import type { ResultCode } from "./result_code.ts";

/** One rule that a value breaks. */
export interface Issue {
  /** Path of the value, for example `entry.zone` or `class fitters.weight`. */
  readonly key: string;
  /** The value as it was given. */
  readonly value: string;
  /** What is allowed. */
  readonly allowed: string;
}

/** Both sides of an edit race. */
export interface RowConflict {
  readonly row: string;
  readonly yours: unknown;
  readonly theirs: unknown;
  readonly theirVersion: number;
}

/** A failed operation. */
export interface Failure {
  readonly code: ResultCode;
  readonly message: string;
  readonly issues?: readonly Issue[];
  readonly conflicts?: readonly RowConflict[];
}

/** Builds a failed `Result`. */
export function fail(
  code: ResultCode,
  message: string,
  details: Pick<Failure, "issues" | "conflicts"> = {},
): Err<Failure> {
  return new Err({ code, message, ...details });
}

/** Describes a thrown value. */
export function describeError(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
