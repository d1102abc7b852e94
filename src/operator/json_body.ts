/** JSON bodies of the operator API: reading, validation, and replies. */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import { readBody } from "../connection_budget/index.ts";
import { codes, describeError, fail, type Failure } from "../errors/index.ts";

/** Maximum size of a request body in bytes. */
const maxBodyBytes = 8 * 1024 * 1024;

/**
 * Reads and parses a JSON body; undefined if the body is empty. Fails with
 * `badCommand`, or as `readBody` does.
 */
export async function readJsonBody(
  req: IncomingMessage,
): Promise<Result<unknown, Failure>> {
  const bytes = await readBody(req, maxBodyBytes);
  if (bytes.err) return bytes;
  if (bytes.val.length === 0) return Ok(undefined);
  try {
    return Ok(JSON.parse(Buffer.from(bytes.val).toString("utf8")));
  } catch (err) {
    return fail(codes.badCommand, `malformed JSON body: ${describeError(err)}`);
  }
}

/** Validates a body. Fails with `badCommand`. */
export function parseBody<T extends v.GenericSchema>(
  schema: T,
  body: unknown,
): Result<v.InferOutput<T>, Failure> {
  const parsed = v.safeParse(schema, body);
  if (parsed.success) return Ok(parsed.output);
  const issues = parsed.issues.map((issue) => ({
    key: v.getDotPath(issue) ?? "body",
    value: JSON.stringify(issue.input) ?? "missing",
    allowed: issue.message,
  }));
  return fail(codes.badCommand, "the body does not match the schema", {
    issues,
  });
}

/** Replies with a failure and its HTTP status. */
export function replyFailure(res: ServerResponse, failure: Failure): void {
  const { code, message, issues, conflicts } = failure;
  replyJson(res, code.http, {
    code: code.code,
    name: code.name,
    message,
    issues,
    conflicts,
  });
}

/** Replies with a body as JSON. */
export function replyJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  const bytes = Buffer.from(JSON.stringify(body));
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": bytes.length,
  });
  res.end(bytes);
}
