/**
 * Classification: from the request line and headers to a class of the table.
 * Requests are addressed as `/run/CLASS/PATH`.
 */
import type { IncomingHttpHeaders } from "node:http";
import { Ok, type Result } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";
import type { ClassRow, Table } from "../table/index.ts";
import { headerNames } from "../pipeline/index.ts";

const runPrefix = "/run/";
const methods = new Set(["GET", "POST", "PUT", "PATCH", "DELETE"]);
const maxKeyLength = 200;
const hopByHop = new Set([
  "connection",
  "keep-alive",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "content-length",
  "expect",
  "prefer",
]);

/** A request with its class, before its body is read. */
export interface Classified {
  readonly row: ClassRow;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly key?: string;
  /** Time in ms that the caller leaves until the start. */
  readonly deadlineMs?: number;
  /** Whether the caller asks for a job instead of an answer. */
  readonly async: boolean;
}

/** Whether a path belongs to a class of work. */
export function isRunPath(url: string): boolean {
  return url.startsWith(runPrefix);
}

/**
 * Classifies a request. Fails with `methodNotAllowed`, `unknownClass`,
 * `keyRequired`, or `badRequest`.
 */
export function classify(
  table: Table,
  method: string,
  url: string,
  headers: IncomingHttpHeaders,
): Result<Classified, Failure> {
  if (!methods.has(method)) {
    return fail(codes.methodNotAllowed, `method ${method}`);
  }
  const rest = url.slice(runPrefix.length);
  const slash = rest.indexOf("/");
  const name = slash < 0 ? rest : rest.slice(0, slash);
  const row = table.class(name);
  if (row === undefined) {
    return fail(codes.unknownClass, `class ${JSON.stringify(name)}`);
  }
  const key = headers[headerNames.key];
  if (Array.isArray(key) || (key !== undefined && !isKey(key))) {
    const allowed = `1 to ${maxKeyLength} printable characters`;
    return fail(codes.badRequest, `${headerNames.key} is not ${allowed}`);
  }
  if (row.repeat === "once" && key === undefined) {
    return fail(codes.keyRequired, codes.keyRequired.meaning);
  }
  const deadline = deadlineOf(row, headers[headerNames.deadline]);
  if (deadline.err) return deadline;
  return Ok({
    row,
    path: slash < 0 ? "/" : rest.slice(slash),
    headers: forwarded(headers),
    key,
    deadlineMs: deadline.val,
    async: wantsJob(row, headers.prefer),
  });
}

function isKey(key: string): boolean {
  return key.length <= maxKeyLength && /^[\x21-\x7e]+$/.test(key);
}

function wantsJob(
  row: ClassRow,
  prefer: string | string[] | undefined,
): boolean {
  return row.urgency === "patient" && prefer === "respond-async";
}

function deadlineOf(
  row: ClassRow,
  header: string | string[] | undefined,
): Result<number | undefined, Failure> {
  if (row.urgency === "patient") return Ok(undefined);
  if (header === undefined) return Ok(row.deadlineMs);
  const asked = Number(header);
  if (!Number.isFinite(asked) || asked < 0) {
    const message = `${headerNames.deadline} is not a number of ms`;
    return fail(codes.badRequest, message);
  }
  return Ok(Math.min(asked, row.deadlineMs));
}

function forwarded(headers: IncomingHttpHeaders): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || hopByHop.has(name)) continue;
    if (name.startsWith("briartide-") || name === headerNames.key) continue;
    kept[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return kept;
}
