/**
 * Edits of the table: described changes with the row versions that they were
 * made from.
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

export const rowChangeSchema = v.object({
  key: v.string(),
  /** Row version that the change was made from; 0 creates the row. */
  base: v.number(),
  /** The new row; null deletes it. */
  row: v.nullable(tableRowSchema),
});

export const editSchema = v.object({
  changes: v.pipe(v.array(rowChangeSchema), v.minLength(1)),
});

/** A change of one row. */
export type RowChange = v.InferOutput<typeof rowChangeSchema>;
/** A set of row changes that is accepted or refused as a whole. */
export type Edit = v.InferOutput<typeof editSchema>;

/**
 * Checks an edit against the table it will change.
 *
 * Fails with `editConflict` when a row has moved on, or with `tableInvalid`
 * when the resulting table breaks a rule.
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

function applyEdit(table: Table, edit: Edit) {
  const rows = new Map([...table.rows].map(([key, r]) => [key, r.row]));
  for (const change of edit.changes) {
    if (change.row === null) rows.delete(change.key);
    else rows.set(rowKey(change.row), change.row);
  }
  return [...rows.values()];
}

/** Checks that each change names the key of its row. */
export function findMismatchedKeys(edit: Edit): readonly RowKey[] {
  return edit.changes
    .filter((c) => c.row !== null && rowKey(c.row) !== c.key)
    .map((c) => c.key);
}
