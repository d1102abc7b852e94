/** Decoders for rows of the table service. */
import type { Result } from "ts-results";
import { Ok } from "ts-results";
import * as v from "valibot";
import { codes, fail, type Failure } from "../errors/index.ts";
import type { PlatformRow } from "./platform.ts";

/** A decoded row, with its version for the checks of a transaction. */
export interface DecodedRow<T> {
  readonly key: string;
  readonly version: number;
  readonly value: T;
}

/** Decodes one row by a schema. Fails with `rowInvalid`. */
export function decodeRow<T extends v.GenericSchema>(
  schema: T,
  row: PlatformRow,
): Result<DecodedRow<v.InferOutput<T>>, Failure> {
  const parsed = v.safeParse(schema, row.value);
  if (!parsed.success) {
    const issue = parsed.issues[0];
    return fail(codes.rowInvalid, `row ${row.key}: ${issue.message}`);
  }
  return Ok({ key: row.key, version: row.version, value: parsed.output });
}

/**
 * Decodes the rows whose keys start with a prefix. Skips malformed rows and
 * passes their failures to `onInvalid`.
 */
export function decodeRows<T extends v.GenericSchema>(
  schema: T,
  rows: readonly PlatformRow[],
  prefix: string,
  onInvalid: (err: Failure) => void = () => undefined,
): DecodedRow<v.InferOutput<T>>[] {
  const decodedRows: DecodedRow<v.InferOutput<T>>[] = [];
  for (const row of rows) {
    if (!row.key.startsWith(prefix)) continue;
    const decoded = decodeRow(schema, row);
    if (decoded.ok) decodedRows.push(decoded.val);
    else onInvalid(decoded.val);
  }
  return decodedRows;
}
