/**
 * Stores the operator's table in the platform's table service: reads consistent
 * snapshots, and commits edits together with their audit records.
 */
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import { codes, fail, type Failure } from "../errors/index.ts";
import type {
  Platform,
  PlatformRow,
  PlatformRowWrite,
  TableService,
} from "../platform/index.ts";
import { auditWrite } from "../audit/index.ts";
import { checkEdit, type Edit } from "./edit.ts";
import { tableRowSchema } from "./row.ts";
import { Table, type VersionedRow } from "./table.ts";

/** Key of the row that holds the table's version. */
const headKey = "table/head";
/** Prefix of the keys of table rows. */
const rowPrefix = "table/row/";
/** Attempts to commit an edit while other edits are committed first. */
const maxAttempts = 8;

/** Schema of the row under `headKey`. */
const headSchema = v.object({ version: v.number() });

/** Author, time and operation id of a change. */
export interface ChangeContext {
  /** Operator or process that makes the change. */
  readonly who: string;
  /** Wall-clock time in ms since the Unix epoch. */
  readonly at: number;
  /** Idempotency key of the transaction. */
  readonly operation: string;
}

/**
 * Reads the version of the committed table; 0 before the first edit. Fails as
 * the table service does.
 */
export async function readTableVersion(
  service: TableService,
): Promise<Result<number, Failure>> {
  const rows = await service.read({ keys: [headKey] });
  return rows.map((list) => decodeHead(list).version);
}

/** Returns the table's version and the version of the row that holds it. */
function decodeHead(rows: readonly PlatformRow[]) {
  const row = rows.find((r) => r.key === headKey);
  if (row === undefined) return { version: 0, rowVersion: 0 };
  const parsed = v.safeParse(headSchema, row.value);
  const version = parsed.success ? parsed.output.version : 0;
  return { version, rowVersion: row.version };
}

/**
 * Reads the whole committed table in one snapshot. Fails as the table service
 * does.
 */
export async function readTable(
  service: TableService,
): Promise<Result<Table, Failure>> {
  const read = await readSnapshot(service);
  return read.map((snapshot) => snapshot.table);
}

async function readSnapshot(service: TableService) {
  const read = await service.read({ keys: [headKey], prefixes: [rowPrefix] });
  return read.map((rows) => {
    const head = decodeHead(rows);
    return {
      table: Table.of(head.version, decodeTableRows(rows)),
      headVersion: head.rowVersion,
    };
  });
}

/** Decodes the rows of the table; skips malformed ones. */
function decodeTableRows(rows: readonly PlatformRow[]): VersionedRow[] {
  const decoded: VersionedRow[] = [];
  for (const row of rows) {
    if (!row.key.startsWith(rowPrefix)) continue;
    const parsed = v.safeParse(tableRowSchema, row.value);
    if (parsed.success) {
      decoded.push({ version: row.version, row: parsed.output });
    }
  }
  return decoded;
}

/**
 * Commits an edit and returns the new table version.
 *
 * If another edit was committed since the table was read, this edit is checked
 * against the new table and tried again, so edits of different rows do not
 * conflict. Fails with `editConflict`, `tableInvalid`, `commitRefused`,
 * `platformDown` or `commitUnknown`.
 */
export async function commitEdit(
  platform: Pick<Platform, "table">,
  edit: Edit,
  ctx: ChangeContext,
): Promise<Result<number, Failure>> {
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const snapshot = await readSnapshot(platform.table);
    if (snapshot.err) return snapshot;
    const { table, headVersion } = snapshot.val;
    const checked = checkEdit(table, edit);
    if (checked.err) return checked;
    const version = table.version + 1;
    const outcome = await platform.table.commit({
      operation: `${ctx.operation}/${attempt}`,
      checks: [{ key: headKey, version: headVersion }],
      writes: [
        { key: headKey, value: { version } },
        ...rowWrites(edit),
        auditWrite({
          at: ctx.at,
          who: ctx.who,
          action: "table.edit",
          subject: `table ${version}`,
          before: edit.changes.map((c) => table.rows.get(c.key)?.row ?? null),
          after: edit.changes.map((c) => c.row),
          operation: ctx.operation,
        }),
      ],
    });
    if (outcome.err) return outcome;
    if (outcome.val.kind === "committed") return Ok(version);
    if (outcome.val.kind === "refused") {
      return fail(codes.commitRefused, outcome.val.message);
    }
  }
  return fail(
    codes.editConflict,
    "too many concurrent edits of the table; try again",
  );
}

function rowWrites(edit: Edit): PlatformRowWrite[] {
  return edit.changes.map((change) => ({
    key: `${rowPrefix}${change.key}`,
    value: change.row,
  }));
}
