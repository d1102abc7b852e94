/**
 * Classification: from the request line and headers to a class of the table.
 * Requests are addressed as `/run/CLASS/PATH`.
 */
import type { IncomingHttpHeaders } from "node:http";
import { Ok, type Result } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";
import type { ClassRow, Table } from "../table/index.ts";
import { headerNames } from "../pipeline/index.ts";

const runPathPrefix = "/run/";
const allowedMethods = new Set(["GET", "POST", "PUT", "PATCH", "DELETE"]);
const maxKeyLength = 200;
const notForwardedHeaders = new Set([
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
export interface ClassifiedRequest {
  readonly classRow: ClassRow;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly key?: string;
  /** Time in ms that the caller leaves until the start. */
  readonly deadlineMs?: number;
  /** Whether the caller asks for a job instead of an answer. */
  readonly respondAsync: boolean;
}

/** Whether a path belongs to a class of work. */
export function isRunPath(url: string): boolean {
  return url.startsWith(runPathPrefix);
}

/**
 * Classifies a request. Fails with `methodNotAllowed`, `unknownClass`,
 * `keyRequired`, or `badRequest`.
 */
export function classifyRequest(
  table: Table,
  method: string,
  url: string,
  headers: IncomingHttpHeaders,
): Result<ClassifiedRequest, Failure> {
  if (!allowedMethods.has(method)) {
    return fail(codes.methodNotAllowed, `method ${method}`);
  }
  const classAndPath = url.slice(runPathPrefix.length);
  const slash = classAndPath.indexOf("/");
  const className = slash < 0 ? classAndPath : classAndPath.slice(0, slash);
  const classRow = table.class(className);
  if (classRow === undefined) {
    return fail(codes.unknownClass, `class ${JSON.stringify(className)}`);
  }
  const key = headers[headerNames.key];
  if (Array.isArray(key) || (key !== undefined && !isKey(key))) {
    const allowed = `1 to ${maxKeyLength} printable characters`;
    return fail(codes.badRequest, `${headerNames.key} is not ${allowed}`);
  }
  if (classRow.repeat === "once" && key === undefined) {
    return fail(codes.keyRequired, codes.keyRequired.meaning);
  }
  const deadline = parseDeadline(classRow, headers[headerNames.deadline]);
  if (deadline.err) return deadline;
  return Ok({
    classRow,
    path: slash < 0 ? "/" : classAndPath.slice(slash),
    headers: selectForwardedHeaders(headers),
    key,
    deadlineMs: deadline.val,
    respondAsync: requestsJob(classRow, headers.prefer),
  });
}

function isKey(key: string): boolean {
  return key.length <= maxKeyLength && /^[\x21-\x7e]+$/.test(key);
}

function requestsJob(
  classRow: ClassRow,
  prefer: string | string[] | undefined,
): boolean {
  return classRow.urgency === "patient" && prefer === "respond-async";
}

function parseDeadline(
  classRow: ClassRow,
  header: string | string[] | undefined,
): Result<number | undefined, Failure> {
  if (classRow.urgency === "patient") return Ok(undefined);
  if (header === undefined) return Ok(classRow.deadlineMs);
  const requestedMs = Number(header);
  if (!Number.isFinite(requestedMs) || requestedMs < 0) {
    const message = `${headerNames.deadline} is not a number of ms`;
    return fail(codes.badRequest, message);
  }
  return Ok(Math.min(requestedMs, classRow.deadlineMs));
}

function selectForwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const forwardedHeaders: Record<string, string> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || notForwardedHeaders.has(name)) continue;
    if (name.startsWith("briartide-") || name === headerNames.key) continue;
    forwardedHeaders[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return forwardedHeaders;
}
