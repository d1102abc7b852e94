/**
 * Edits of the table. Each row change states the row version that it is based
 * on, so that concurrent changes are detected.
 */
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import {
  codes,
  fail,
  type Failure,
  type RowConflict,
} from "../errors/index.ts";
import { type RowKey, rowKey, tableRowSchema } from "./row.ts";
import { type Table, validateRows } from "./table.ts";

/** Schema of a change of one row. */
export const rowChangeSchema = v.object({
  key: v.string(),
  /** Row version that the change is based on; 0 if it creates the row. */
  base: v.number(),
  /** The new row; null to delete it. */
  row: v.nullable(tableRowSchema),
});

/** Schema of an edit. */
export const editSchema = v.object({
  changes: v.pipe(v.array(rowChangeSchema), v.minLength(1)),
});

/** A change of one row. */
export type RowChange = v.InferOutput<typeof rowChangeSchema>;
/** A set of row changes that is committed or rejected as a whole. */
export type Edit = v.InferOutput<typeof editSchema>;

/**
 * Validates an edit against the table that it changes. Fails with
 * `editConflict` if a row no longer has its base version, or with
 * `tableInvalid` if the resulting table is invalid.
 */
export function checkEdit(table: Table, edit: Edit): Result<Edit, Failure> {
  const conflicts = findConflicts(table, edit);
  if (conflicts.length > 0) {
    const keys = conflicts.map((c) => c.row).join(", ");
    return fail(codes.editConflict, `rows changed meanwhile: ${keys}`, {
      conflicts,
    });
  }
  const issues = validateRows(applyEdit(table, edit));
  if (issues.length > 0) {
    return fail(codes.tableInvalid, "the edited table breaks its rules", {
      issues,
    });
  }
  return Ok(edit);
}

function findConflicts(table: Table, edit: Edit): RowConflict[] {
  const conflicts: RowConflict[] = [];
  for (const change of edit.changes) {
    const current = table.rows.get(change.key);
    const version = current?.version ?? 0;
    if (version === change.base) continue;
    conflicts.push({
      row: change.key,
      yours: change.row,
      theirs: current?.row ?? null,
      theirVersion: version,
    });
  }
  return conflicts;
}

/** Returns the rows after the edit. */
function applyEdit(table: Table, edit: Edit) {
  const rows = new Map([...table.rows].map(([key, r]) => [key, r.row]));
  for (const change of edit.changes) {
    if (change.row === null) rows.delete(change.key);
    else rows.set(rowKey(change.row), change.row);
  }
  return [...rows.values()];
}

/** Returns the keys of changes whose row has another key. */
export function findMismatchedKeys(edit: Edit): readonly RowKey[] {
  return edit.changes
    .filter((c) => c.row !== null && rowKey(c.row) !== c.key)
    .map((c) => c.key);
}
