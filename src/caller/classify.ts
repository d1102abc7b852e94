/**
 * Determines the class of a request, and its options, from the request line
 * and the headers. The URL of a request is `/run/CLASS/PATH`.
 */
import type { IncomingHttpHeaders } from "node:http";
import { Ok, type Result } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";
import type { ClassRow, Table } from "../table/index.ts";
import { headerNames } from "../pipeline/index.ts";

const runPathPrefix = "/run/";
const allowedMethods = new Set(["GET", "POST", "PUT", "PATCH", "DELETE"]);
/** Maximum length of an idempotency key in characters. */
const maxKeyLength = 200;
/**
 * Headers that are not passed on to the endpoint: hop-by-hop headers, and those
 * that concern only the connection to the caller or are set anew.
 */
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

/** A request whose class is known and whose body has not been read. */
export interface ClassifiedRequest {
  readonly classRow: ClassRow;
  /** Path and query that the endpoint receives. */
  readonly path: string;
  /** Headers that are forwarded to the endpoint. */
  readonly headers: Readonly<Record<string, string>>;
  /** The caller's idempotency key. */
  readonly key?: string;
  /**
   * Time in ms within which the request must start; undefined for patient work.
   */
  readonly deadlineMs?: number;
  /**
   * Whether the caller wants the id of a job at once instead of the answer
   * (`Prefer: respond-async`).
   */
  readonly respondAsync: boolean;
}

/** Returns whether a URL addresses a class. */
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
    return fail(codes.methodNotAllowed, `method ${method} is not allowed`);
  }
  const classAndPath = url.slice(runPathPrefix.length);
  const slash = classAndPath.indexOf("/");
  const className = slash < 0 ? classAndPath : classAndPath.slice(0, slash);
  const classRow = table.class(className);
  if (classRow === undefined) {
    return fail(
      codes.unknownClass,
      `unknown class ${JSON.stringify(className)}`,
    );
  }
  const key = headers[headerNames.key];
  if (Array.isArray(key) || (key !== undefined && !isKey(key))) {
    const allowed = `1 to ${maxKeyLength} printable ASCII characters`;
    return fail(
      codes.badRequest,
      `header ${headerNames.key} must be ${allowed}`,
    );
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

/**
 * Returns whether the caller asks for a job id. Only classes of patient work
 * accept `Prefer: respond-async`.
 */
function requestsJob(
  classRow: ClassRow,
  prefer: string | string[] | undefined,
): boolean {
  return classRow.urgency === "patient" && prefer === "respond-async";
}

/**
 * Returns the time in ms within which the request must start; undefined for
 * patient work. A caller may shorten the deadline of the class but not extend
 * it. Fails with `badRequest`.
 */
function parseDeadline(
  classRow: ClassRow,
  header: string | string[] | undefined,
): Result<number | undefined, Failure> {
  if (classRow.urgency === "patient") return Ok(undefined);
  if (header === undefined) return Ok(classRow.deadlineMs);
  const requestedMs = Number(header);
  if (!Number.isFinite(requestedMs) || requestedMs < 0) {
    const message =
      `header ${headerNames.deadline} must be a non-negative number of ms`;
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
