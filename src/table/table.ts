/**
 * The table as an immutable value with a version, and the validation rules that
 * concern more than one field or row.
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

/** Schema of a row with its version. */
export const versionedRowSchema = v.object({
  /** Version of the stored row, assigned by the platform. */
  version: v.number(),
  row: tableRowSchema,
});

/** A row with the version that the platform assigned. */
export type VersionedRow = v.InferOutput<typeof versionedRowSchema>;

/** The whole table. Version 0 is the empty table before the first edit. */
export class Table {
  /** The table before the first edit. */
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

  /** Creates a table from its rows. */
  static of(version: number, rows: readonly VersionedRow[]): Table {
    return new Table(version, new Map(rows.map((r) => [rowKey(r.row), r])));
  }

  /** Returns the class of a name. */
  class(name: string): ClassRow | undefined {
    return this.#classes.get(name);
  }

  /** Returns the pool of a name. */
  pool(name: string): PoolRow | undefined {
    return this.#pools.get(name);
  }

  /** Returns all classes. */
  classes(): readonly ClassRow[] {
    return [...this.#classes.values()];
  }

  /** Returns all pools. */
  pools(): readonly PoolRow[] {
    return [...this.#pools.values()];
  }

  /**
   * Returns a digest of all row keys and row versions. Tables with the same
   * digest are equal, as each change of a row changes its version.
   */
  digest(): string {
    const hash = createHash("sha256");
    for (const key of [...this.rows.keys()].sort()) {
      hash.update(`${key}@${this.rows.get(key)?.version};`);
    }
    return hash.digest("base64url");
  }
}

/**
 * Checks the rules that concern a set of rows: unique keys, existing pools and
 * deadlines that suit the urgency. Returns all violations.
 */
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
