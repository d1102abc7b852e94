/** Reads request bodies of limited size. */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Ok, type Result } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";

const emptyBody = new Uint8Array(0);

/** Returns whether the headers of a request announce a body. */
function hasBody(req: IncomingMessage): boolean {
  const length = req.headers["content-length"];
  return req.headers["transfer-encoding"] !== undefined ||
    (length !== undefined && length !== "0");
}

/**
 * Reads the whole body of a request. Fails with `bodyTooLarge` if it exceeds
 * `maxBytes`, or with `cancelled` if the caller disconnects before the end of
 * the body.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Uint8Array, Failure>> {
  if (!hasBody(req)) return Promise.resolve(Ok(emptyBody));
  if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
    const message = `the request body exceeds ${maxBytes} bytes`;
    return Promise.resolve(fail(codes.bodyTooLarge, message));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (body: Result<Uint8Array, Failure>) => {
      req.off("data", onData);
      req.off("end", onEnd);
      req.off("error", onDisconnect);
      req.off("close", onDisconnect);
      resolve(body);
    };
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size <= maxBytes) return;
      req.pause();
      finish(
        fail(codes.bodyTooLarge, `the request body exceeds ${maxBytes} bytes`),
      );
    };
    const onEnd = () => {
      finish(Ok(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
    };
    const onDisconnect = () =>
      finish(
        fail(
          codes.cancelled,
          "the caller disconnected before the end of the body",
        ),
      );
    req.on("data", onData);
    req.on("end", onEnd);
    req.on("error", onDisconnect);
    req.on("close", onDisconnect);
  });
}
