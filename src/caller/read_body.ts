/** Reading of bounded request bodies. */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Ok, type Result } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";

const empty = new Uint8Array(0);

/** Whether a request announces a body. */
function hasBody(req: IncomingMessage): boolean {
  const length = req.headers["content-length"];
  return req.headers["transfer-encoding"] !== undefined ||
    (length !== undefined && length !== "0");
}

/**
 * Reads a whole body. Fails with `bodyTooLarge`, or with `cancelled` when the
 * caller goes away before its end.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Uint8Array, Failure>> {
  if (!hasBody(req)) return Promise.resolve(Ok(empty));
  if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
    const message = `the body exceeds ${maxBytes} bytes`;
    return Promise.resolve(fail(codes.bodyTooLarge, message));
  }
  return new Promise((resolve) => {
    const pieces: Buffer[] = [];
    let size = 0;
    const settle = (body: Result<Uint8Array, Failure>) => {
      req.off("data", take);
      req.off("end", end);
      req.off("error", gone);
      req.off("close", gone);
      resolve(body);
    };
    const take = (piece: Buffer) => {
      size += piece.length;
      pieces.push(piece);
      if (size <= maxBytes) return;
      req.pause();
      settle(fail(codes.bodyTooLarge, `the body exceeds ${maxBytes} bytes`));
    };
    const end = () => {
      settle(Ok(pieces.length === 1 ? pieces[0] : Buffer.concat(pieces)));
    };
    const gone = () => settle(fail(codes.cancelled, "the caller went away"));
    req.on("data", take);
    req.on("end", end);
    req.on("error", gone);
    req.on("close", gone);
  });
}
