/** Routes for the table: reading, edits, and waiting for confirmations. */
import { Ok, type Result } from "ts-results";
import { delay } from "../clock/index.ts";
import { codes, fail, type Failure } from "../errors/index.ts";
import {
  commitEdit,
  editSchema,
  findMismatchedKeys,
  readTable,
} from "../table/index.ts";
import { parseBody } from "./json_body.ts";
import {
  entryView,
  get,
  type OperatorApiDependencies,
  type OperatorRequest,
  post,
  type Route,
} from "./route.ts";
import { groupByConfirmation } from "./table_confirmations.ts";

/** Interval in ms at which a waiting request checks for confirmations. */
const confirmationPollMs = 10;
/** Maximum time in ms that a request waits for confirmations. */
const maxConfirmationWaitMs = 60_000;

/** Returns the routes for the table. */
export function tableRoutes(deps: OperatorApiDependencies): readonly Route[] {
  return [
    get(/^\/v1\/table$/, () => readTableInForce(deps)),
    post(/^\/v1\/table$/, (call) => editTable(deps, call)),
    get(/^\/v1\/table\/force$/, (call) => awaitConfirmations(deps, call)),
  ];
}

/**
 * Reads the committed table. If the platform fails, returns the table that is
 * in force on this entry.
 */
async function readTableInForce(
  deps: OperatorApiDependencies,
): Promise<Result<unknown, Failure>> {
  const committed = await readTable(deps.platform.table);
  const table = committed.ok ? committed.val : deps.fleetState().table;
  if (committed.err && table.version === 0) return committed;
  return Ok({ version: table.version, rows: [...table.rows.values()] });
}

/** Commits an edit and passes the new table to this entry at once. */
async function editTable(
  deps: OperatorApiDependencies,
  { body, ctx }: OperatorRequest,
): Promise<Result<unknown, Failure>> {
  const edit = parseBody(editSchema, body);
  if (edit.err) return edit;
  const mismatchedKeys = findMismatchedKeys(edit.val);
  if (mismatchedKeys.length > 0) {
    return fail(
      codes.badCommand,
      `keys do not match their rows: ${mismatchedKeys}`,
    );
  }
  const version = await commitEdit(deps.platform, edit.val, ctx);
  if (version.err) return version;
  const table = await readTable(deps.platform.table);
  if (table.ok) deps.applyEvent({ kind: "table", table: table.val });
  return Ok({ version: version.val });
}

/**
 * Waits until every reachable entry has a table version in force or the time
 * limit has passed. Returns the entries by whether they have it in force.
 */
async function awaitConfirmations(
  deps: OperatorApiDependencies,
  { query }: OperatorRequest,
): Promise<Result<unknown, Failure>> {
  const version = Number(query.get("version") ?? 0);
  const waitMs = Math.min(
    maxConfirmationWaitMs,
    Number(query.get("wait") ?? 0),
  );
  const deadline = deps.clock.now() + waitMs;
  for (;;) {
    const result = groupByConfirmation(entryView(deps), version);
    const timedOut = deps.clock.now() >= deadline;
    if (result.pending.length === 0 || timedOut) return Ok(result);
    await delay(deps.clock, confirmationPollMs);
  }
}
