/**
 * The table as an immutable value with a version, and the rules that a whole
 * table obeys.
 */
import { createHash } from "node:crypto";
import * as v from "valibot";
import type { Issue } from "../errors/index.ts";
import {
  type ClassRow,
  type PoolRow,
  type RowKey,
  rowKey,
  type TableRow,
  tableRowSchema,
} from "./row.ts";

export const versionedRowSchema = v.object({
  /** Platform version of the row. */
  version: v.number(),
  row: tableRowSchema,
});

/** A row with the platform's version of it. */
export type VersionedRow = v.InferOutput<typeof versionedRowSchema>;

/** A whole table. Version 0 is the empty table before the first edit. */
export class Table {
  static readonly empty = new Table(0, new Map());
  readonly #classes: ReadonlyMap<string, ClassRow>;
  readonly #pools: ReadonlyMap<string, PoolRow>;

  constructor(
    readonly version: number,
    readonly rows: ReadonlyMap<RowKey, VersionedRow>,
  ) {
    const classes = new Map<string, ClassRow>();
    const pools = new Map<string, PoolRow>();
    for (const { row } of rows.values()) {
      if (row.kind === "class") classes.set(row.name, row);
      else pools.set(row.name, row);
    }
    this.#classes = classes;
    this.#pools = pools;
  }

  /** Builds a table from its rows. */
  static of(version: number, rows: readonly VersionedRow[]): Table {
    return new Table(version, new Map(rows.map((r) => [rowKey(r.row), r])));
  }

  /** The class of that name. */
  class(name: string): ClassRow | undefined {
    return this.#classes.get(name);
  }

  /** The pool of that name. */
  pool(name: string): PoolRow | undefined {
    return this.#pools.get(name);
  }

  /** All classes. */
  classes(): readonly ClassRow[] {
    return [...this.#classes.values()];
  }

  /** All pools. */
  pools(): readonly PoolRow[] {
    return [...this.#pools.values()];
  }

  /** Digest of all rows and their versions, equal only for equal tables. */
  digest(): string {
    const hash = createHash("sha256");
    for (const key of [...this.rows.keys()].sort()) {
      hash.update(`${key}@${this.rows.get(key)?.version};`);
    }
    return hash.digest("base64url");
  }
}

/** Lists every rule that a set of rows breaks as a whole. */
export function validateRows(rows: readonly TableRow[]): readonly Issue[] {
  const issues: Issue[] = [];
  const pools = new Set<string>();
  const seen = new Set<RowKey>();
  for (const row of rows) {
    const key = rowKey(row);
    if (seen.has(key)) {
      issues.push({ key, value: row.name, allowed: "each row once" });
    }
    seen.add(key);
    if (row.kind === "pool") pools.add(row.name);
  }
  for (const row of rows) {
    if (row.kind === "class") issues.push(...validateClass(row, pools));
  }
  return issues;
}

function validateClass(row: ClassRow, pools: ReadonlySet<string>): Issue[] {
  const issues: Issue[] = [];
  const issueKey = (column: string) => `class/${row.name}.${column}`;
  if (!pools.has(row.pool)) {
    issues.push({
      key: issueKey("pool"),
      value: row.pool,
      allowed: "the name of a pool row",
    });
  }
  if (row.urgency === "urgent" && row.deadlineMs === 0) {
    issues.push({
      key: issueKey("deadlineMs"),
      value: "0",
      allowed: "at least 1 for an urgent class",
    });
  }
  if (row.urgency === "patient" && row.deadlineMs !== 0) {
    issues.push({
      key: issueKey("deadlineMs"),
      value: String(row.deadlineMs),
      allowed: "0 for a patient class",
    });
  }
  return issues;
}
