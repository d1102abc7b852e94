/**
 * Converts the table to and from CSV. Each line is a pool or a class with its
 * row version, by which an import detects concurrent edits.
 */
import { parse } from "csv-parse/sync";
import { stringify } from "csv-stringify/sync";
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import {
  codes,
  describeError,
  fail,
  type Failure,
  type Issue,
} from "../errors/index.ts";
import type { Edit, RowChange } from "./edit.ts";
import { rowKey, type TableRow, tableRowSchema } from "./row.ts";
import type { Table } from "./table.ts";

/** Columns in order; those that a row's kind does not have are empty. */
export const csvColumns = [
  "kind",
  "name",
  "version",
  "pool",
  "urgency",
  "repeat",
  "weight",
  "price",
  "rate",
  "concurrency",
  "queue",
  "deadlineMs",
  "runMs",
  "budget",
  "spare",
] as const;

/** Columns with numbers. */
const numberColumns = new Set<string>([
  "weight",
  "price",
  "rate",
  "concurrency",
  "queue",
  "deadlineMs",
  "runMs",
  "budget",
]);

/** Cells of a CSV line by column. */
type CsvRecord = Readonly<Record<string, string>>;

/** Formats the table as CSV: pools first, then classes, each sorted by name. */
export function toCsv(table: Table): string {
  const rows = [...table.rows.values()].sort((a, b) =>
    b.row.kind.localeCompare(a.row.kind) || a.row.name.localeCompare(b.row.name)
  );
  const records = rows.map(({ version, row }) => ({
    ...row,
    version,
    spare: row.kind === "pool" ? String(row.spare) : "",
  }));
  return stringify(records, { header: true, columns: [...csvColumns] });
}

/** Parses a row from text fields; returns it, or all its invalid values. */
export function parseRowFields(
  fields: CsvRecord,
): { readonly row?: TableRow; readonly issues: readonly Issue[] } {
  const raw: Record<string, unknown> = {};
  for (const [column, text] of Object.entries(fields)) {
    if (text !== "" && column !== "version") raw[column] = coerce(column, text);
  }
  const parsed = v.safeParse(tableRowSchema, raw);
  if (parsed.success) return { row: parsed.output, issues: [] };
  const rowName = `${fields.kind}/${fields.name}`;
  const issues = parsed.issues.map((issue) => {
    const column = v.getDotPath(issue) ?? "kind";
    return {
      key: `${rowName}.${column}`,
      value: fields[column] ?? "",
      allowed: issue.message,
    };
  });
  return { issues };
}

/** Converts a cell to the type of its column; keeps a malformed one as text. */
function coerce(column: string, text: string): unknown {
  if (numberColumns.has(column)) return Number(text);
  if (column === "spare") {
    return text === "true" ? true : text === "false" ? false : text;
  }
  return text;
}

/**
 * Parses a CSV text and returns the edit that makes the table equal to it. Rows
 * that the text lacks are deleted. Fails with `tableInvalid`, with the invalid
 * values of all rows.
 */
export function fromCsv(
  table: Table,
  text: string,
): Result<Edit, Failure> {
  let records: CsvRecord[];
  try {
    records = parse(text, {
      columns: true,
      trim: true,
      skip_empty_lines: true,
    });
  } catch (err) {
    return fail(codes.tableInvalid, `CSV: ${describeError(err)}`);
  }
  const issues: Issue[] = [];
  const changes: RowChange[] = [];
  const csvKeys = new Set<string>();
  for (const fields of records) {
    const parsed = parseRowFields(fields);
    issues.push(...parsed.issues);
    if (parsed.row === undefined) continue;
    const key = rowKey(parsed.row);
    if (csvKeys.has(key)) {
      issues.push({ key, value: parsed.row.name, allowed: "each row once" });
    }
    csvKeys.add(key);
    const base = Number(fields.version || "0");
    if (!isUnchanged(table, parsed.row, base)) {
      changes.push({ key, base, row: parsed.row });
    }
  }
  for (const [key, { version }] of table.rows) {
    if (!csvKeys.has(key)) changes.push({ key, base: version, row: null });
  }
  if (issues.length > 0) {
    return fail(codes.tableInvalid, "the CSV contains invalid rows", {
      issues,
    });
  }
  return Ok({ changes });
}

/** Returns whether the table holds this row at version `base`. */
function isUnchanged(table: Table, row: TableRow, base: number): boolean {
  const current = table.rows.get(rowKey(row));
  if (current === undefined || current.version !== base) return false;
  return JSON.stringify(sortedEntries(current.row)) ===
    JSON.stringify(sortedEntries(row));
}

function sortedEntries(row: TableRow): unknown {
  return Object.entries(row).sort(([a], [b]) => a.localeCompare(b));
}
