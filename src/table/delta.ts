/**
 * Deltas between two versions of the table, for distribution among entries.
 */
import * as v from "valibot";
import type { RowKey } from "./row.ts";
import { Table, type VersionedRow, versionedRowSchema } from "./table.ts";

export const tableDeltaSchema = v.object({
  /** Version that the delta applies to; 0 carries the whole table. */
  base: v.number(),
  version: v.number(),
  /** Digest of the table after the delta. */
  digest: v.string(),
  changed: v.array(versionedRowSchema),
  removed: v.array(v.string()),
});

/** The difference between two versions of the table. */
export type TableDelta = v.InferOutput<typeof tableDeltaSchema>;

/** What applying a delta came to. */
export type DeltaOutcome =
  | { readonly kind: "applied"; readonly table: Table }
  /** The delta is not newer than the table. */
  | { readonly kind: "stale" }
  /** The delta's base is missing here: the whole table is needed. */
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

/** Applies a delta; the table's version never decreases. */
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
