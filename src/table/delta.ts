/**
 * Differences between two versions of the table, which entries send each other
 * instead of whole tables.
 */
import * as v from "valibot";
import type { RowKey } from "./row.ts";
import { Table, type VersionedRow, versionedRowSchema } from "./table.ts";

/** Schema of a delta. */
export const tableDeltaSchema = v.object({
  /** Table version that the delta applies to; 0 if it has the whole table. */
  base: v.number(),
  /** Table version after the delta. */
  version: v.number(),
  /** Digest of the table after the delta. */
  digest: v.string(),
  /** Rows that were added or changed. */
  changed: v.array(versionedRowSchema),
  /** Keys of rows that were removed. */
  removed: v.array(v.string()),
});

/** The difference between two versions of the table. */
export type TableDelta = v.InferOutput<typeof tableDeltaSchema>;

/** Outcome of applying a delta. */
export type DeltaOutcome =
  | { readonly kind: "applied"; readonly table: Table }
  /** The delta is not newer than the table and was ignored. */
  | { readonly kind: "stale" }
  /**
   * The delta applies to another version of the table, or the digests differ:
   * the whole table is needed.
   */
  | { readonly kind: "gap" };

/** Computes the delta that turns `base` into `next`. */
export function diffTables(base: Table, next: Table): TableDelta {
  const changed: VersionedRow[] = [];
  const removed: RowKey[] = [];
  for (const [key, row] of next.rows) {
    if (base.rows.get(key)?.version !== row.version) changed.push(row);
  }
  for (const key of base.rows.keys()) {
    if (!next.rows.has(key)) removed.push(key);
  }
  return {
    base: base.version,
    version: next.version,
    digest: next.digest(),
    changed,
    removed,
  };
}

/** Applies a delta to a table. The version of the result is always higher. */
export function applyDelta(table: Table, delta: TableDelta): DeltaOutcome {
  if (delta.version <= table.version) return { kind: "stale" };
  if (delta.base !== 0 && delta.base !== table.version) return { kind: "gap" };
  const rows = new Map(delta.base === 0 ? [] : table.rows);
  for (const key of delta.removed) rows.delete(key);
  for (const change of delta.changed) {
    rows.set(`${change.row.kind}/${change.row.name}`, change);
  }
  const next = new Table(delta.version, rows);
  if (next.digest() !== delta.digest) return { kind: "gap" };
  return { kind: "applied", table: next };
}
