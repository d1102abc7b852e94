/**
 * Replies to callers: the endpoint's answer, or a numbered result as JSON.
 *
 * A reply of known length has a `Content-Length`. If a streamed answer breaks
 * off, the caller's connection is destroyed, so that a truncated answer never
 * looks complete.
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream";
import { guardOf } from "../connection_budget/index.ts";
import { isStream } from "../endpoint/index.ts";
import type { Failure, ResultCode } from "../errors/index.ts";
import { type Answer, headerNames } from "../pipeline/index.ts";

/** Optional fields of a reply about a job. */
export interface ReplyDetails {
  /** Id of the job. */
  readonly id?: string;
  /** State of the job. */
  readonly state?: string;
  /** Value of the `Location` header. */
  readonly location?: string;
}

function resultHeaders(
  code: ResultCode,
  requestId: string,
): Record<string, string | number> {
  return {
    [headerNames.code]: code.code,
    [headerNames.run]: code.run,
    [headerNames.requestId]: requestId,
  };
}

/** Replies with an endpoint's answer and headers that state the result. */
export function replyAnswer(
  res: ServerResponse,
  answer: Answer,
  code: ResultCode,
  requestId: string,
): void {
  const { status, body } = answer;
  const headers = { ...answer.headers, ...resultHeaders(code, requestId) };
  if (isStream(body)) {
    res.writeHead(status, headers);
    pipeline(body, res, (err) => {
      if (err) res.destroy();
    });
    return;
  }
  headers["content-length"] = body.length;
  guardOf(res.req)?.noteResponse(body.length);
  res.writeHead(status, headers);
  res.end(body);
}

/**
 * Replies with a numbered result as JSON. Does nothing if a reply was already
 * sent or the connection is closed.
 */
export function replyResult(
  res: ServerResponse,
  failure: Failure,
  requestId: string,
  details: ReplyDetails = {},
): void {
  if (res.headersSent || res.destroyed) return;
  const { code, message } = failure;
  const { location, ...fields } = details;
  const body = Buffer.from(JSON.stringify({
    code: code.code,
    name: code.name,
    run: code.run,
    message,
    requestId,
    ...fields,
  }));
  const headers = resultHeaders(code, requestId);
  if (location !== undefined) headers.location = location;
  headers["content-type"] = "application/json";
  headers["content-length"] = body.length;
  res.writeHead(code.http, headers);
  res.end(body);
}

/**
 * Formats a complete HTTP response for a connection whose bytes are not an
 * acceptable request, where no `ServerResponse` exists.
 */
export function formatRawReply(code: ResultCode): string {
  const body = JSON.stringify({
    code: code.code,
    name: code.name,
    run: code.run,
    message: code.meaning,
  });
  return [
    `HTTP/1.1 ${code.http} ${code.name}`,
    `${headerNames.code}: ${code.code}`,
    `${headerNames.run}: ${code.run}`,
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    "connection: close",
    "",
    body,
  ].join("\r\n");
}
