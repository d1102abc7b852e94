/**
 * Replies to callers: the endpoint's answer, or a numbered result as JSON.
 *
 * A reply whose length is known states it; a stream that breaks destroys the
 * caller's connection, so a cut answer never looks complete.
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream";
import { isStream } from "../endpoint/index.ts";
import type { Failure, ResultCode } from "../errors/index.ts";
import { type Answer, headerNames } from "../pipeline/index.ts";

/** Additional fields of a JSON reply. */
export interface ReplyDetails {
  readonly id?: string;
  readonly state?: string;
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

/** Replies with an endpoint's answer. */
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
  res.writeHead(status, headers);
  res.end(body);
}

/** Replies with a numbered result. */
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

/** The reply to bytes that are not an acceptable HTTP request. */
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
