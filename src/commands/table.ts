/** Command `table`, which shows, exports, imports and edits the table. */
import { readFileSync } from "node:fs";
import { Ok, type Result } from "ts-results";
import { codes, describeError, fail, type Failure } from "../errors/index.ts";
import {
  auditReplySchema,
  confirmationReplySchema,
  editReplySchema,
  type OperatorClient,
  tableReplySchema,
} from "../operator/index.ts";
import {
  type ClassRow,
  type Edit,
  fromCsv,
  parseRowFields,
  Table,
  toCsv,
  type VersionedRow,
} from "../table/index.ts";
import {
  type ClientOptionValues,
  type Command,
  defineClientCommand,
  print,
  printTable,
} from "./command.ts";

/** Maximum time in ms that `--wait` waits for confirmations. */
const confirmationTimeoutMs = 16_000;
/** Number of audit records that `table history` searches for edits. */
const maxHistoryRecords = 1_000;

/** Columns of a class that `table show` prints after its name and version. */
const classColumns = [
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
] as const satisfies readonly (keyof ClassRow)[];

const tableOptions = {
  wait: { type: "boolean", default: false },
  file: { type: "string" },
  base: { type: "string" },
  delete: { type: "boolean", default: false },
} as const;

const tableUsage = `table show
       briartide table export                CSV on standard output
       briartide table import --file FILE    replace the table by a CSV file
       briartide table edit KIND/NAME COLUMN=VALUE...
       briartide table edit KIND/NAME --delete
       briartide table history

KIND is pool or class. An import deletes the rows that the CSV lacks. If
another edit has changed one of the rows, nothing is written and the conflict
is printed with both values.

  --base VERSION    row version that the edit is based on
  --wait            wait until the edit is in force on every reachable entry

Exit codes: 0 done, 1 failed, 2 invalid, 3 conflict, 4 not in force in time.`;

/** Values of `tableOptions` and of the client options. */
interface OptionValues extends ClientOptionValues {
  readonly wait?: boolean;
  readonly file?: string;
  readonly base?: string;
  readonly delete?: boolean;
}

/** The `table` command. */
export const tableCommand: Command = defineClientCommand(
  "table",
  "show, export, edit, or import the table",
  tableUsage,
  tableOptions,
  runTableAction,
);

async function runTableAction(
  client: OperatorClient,
  [action, ...rest]: readonly string[],
  values: OptionValues,
): Promise<Result<void, Failure>> {
  switch (action) {
    case "show":
      return await showTable(client, values.json ?? false);
    case "export":
      return (await readTable(client)).map((table) =>
        print(toCsv(table).trimEnd())
      );
    case "import":
      return await importCsv(client, values);
    case "edit":
      return await editRow(client, rest, values);
    case "history":
      return await showHistory(client, values.json ?? false);
    default:
      return fail(codes.badCommand, `unknown action ${action ?? ""}`);
  }
}

async function readTable(
  client: OperatorClient,
): Promise<Result<Table, Failure>> {
  const reply = await client.get("/v1/table", tableReplySchema);
  return reply.map((t) => Table.of(t.version, t.rows));
}

async function showTable(
  client: OperatorClient,
  json: boolean,
): Promise<Result<void, Failure>> {
  const table = await readTable(client);
  return table.map((t) => {
    const rows = [...t.rows.values()];
    if (json) return print(JSON.stringify({ version: t.version, rows }));
    print(`table version ${t.version}`);
    printPools(rows);
    printClasses(rows);
  });
}

function printPools(rows: readonly VersionedRow[]): void {
  printTable(
    ["pool", "version", "budget", "spare"],
    rows.flatMap(({ version, row }) =>
      row.kind === "pool" ? [[row.name, version, row.budget, row.spare]] : []
    ),
  );
}

function printClasses(rows: readonly VersionedRow[]): void {
  printTable(
    ["class", "version", ...classColumns],
    rows.flatMap(({ version, row }) =>
      row.kind === "class"
        ? [[row.name, version, ...classColumns.map((column) => row[column])]]
        : []
    ),
  );
}

async function importCsv(
  client: OperatorClient,
  values: OptionValues,
): Promise<Result<void, Failure>> {
  if (values.file === undefined) {
    return fail(codes.badCommand, "option --file is required");
  }
  let text: string;
  try {
    text = readFileSync(values.file, "utf8");
  } catch (err) {
    return fail(codes.badCommand, describeError(err));
  }
  const table = await readTable(client);
  if (table.err) return table;
  const edit = fromCsv(table.val, text);
  if (edit.err) return edit;
  if (edit.val.changes.length === 0) {
    print(`no change; table version ${table.val.version}`);
    return Ok(undefined);
  }
  return await submitEdit(client, edit.val, values);
}

async function editRow(
  client: OperatorClient,
  [key, ...assignments]: readonly string[],
  values: OptionValues,
): Promise<Result<void, Failure>> {
  const remove = values.delete ?? false;
  if (key === undefined || (assignments.length === 0 && !remove)) {
    return fail(codes.badCommand, "missing row key or COLUMN=VALUE");
  }
  const table = await readTable(client);
  if (table.err) return table;
  const current = table.val.rows.get(key);
  const base = Number(values.base ?? current?.version ?? 0);
  if (remove) {
    return await submitEdit(
      client,
      { changes: [{ key, base, row: null }] },
      values,
    );
  }
  const fields = mergeAssignments(key, current?.row, assignments);
  if (fields.err) return fields;
  const parsed = parseRowFields(fields.val);
  if (parsed.row === undefined) {
    const { issues } = parsed;
    return fail(codes.tableInvalid, `row ${key} breaks its rules`, { issues });
  }
  return await submitEdit(
    client,
    { changes: [{ key, base, row: parsed.row }] },
    values,
  );
}

/** Returns the fields of a row, as text, with the assignments applied. */
function mergeAssignments(
  key: string,
  row: object | undefined,
  assignments: readonly string[],
): Result<Record<string, string>, Failure> {
  const [kind, name] = key.split("/");
  const fields: Record<string, string> = { kind, name: name ?? "" };
  for (const [column, value] of Object.entries(row ?? {})) {
    fields[column] = String(value);
  }
  for (const assignment of assignments) {
    const equals = assignment.indexOf("=");
    if (equals < 1) {
      return fail(
        codes.badCommand,
        `argument ${assignment} does not have the form COLUMN=VALUE`,
      );
    }
    fields[assignment.slice(0, equals)] = assignment.slice(equals + 1);
  }
  return Ok(fields);
}

/** Submits an edit; with `--wait`, waits for the entries to confirm it. */
async function submitEdit(
  client: OperatorClient,
  edit: Edit,
  values: OptionValues,
): Promise<Result<void, Failure>> {
  const reply = await client.post("/v1/table", editReplySchema, edit);
  if (reply.err) return reply;
  const { version } = reply.val;
  print(`accepted as table version ${version}`);
  if (!values.wait) return Ok(undefined);
  const path =
    `/v1/table/force?version=${version}&wait=${confirmationTimeoutMs}`;
  const confirmations = await client.get(path, confirmationReplySchema);
  if (confirmations.err) return confirmations;
  const { confirmed, pending, unreachable } = confirmations.val;
  print(`in force on ${confirmed.join(", ")}`);
  if (unreachable.length > 0) {
    print(`not confirmed, unreachable: ${unreachable.join(", ")}`);
  }
  if (pending.length === 0) return Ok(undefined);
  return fail(codes.notInForce, `not confirmed: ${pending.join(", ")}`);
}

async function showHistory(
  client: OperatorClient,
  json: boolean,
): Promise<Result<void, Failure>> {
  const path = `/v1/audit?limit=${maxHistoryRecords}`;
  const reply = await client.get(path, auditReplySchema);
  return reply.map(({ records }) => {
    const edits = records.filter((r) => r.action === "table.edit");
    if (json) return print(JSON.stringify(edits));
    printTable(
      ["when", "who", "version", "rows after"],
      edits.map((r) => [
        new Date(r.at).toISOString(),
        r.who,
        r.subject,
        JSON.stringify(r.after),
      ]),
    );
  });
}
