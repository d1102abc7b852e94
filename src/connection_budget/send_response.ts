/** Sends responses, also to requests whose body has not been read. */
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from "node:http";
import { announcedBytes, hasBody } from "./read_body.ts";
import { guardOf } from "./request.ts";

/** Largest unread body that is skipped to keep its connection, in bytes. */
const maxSkippedBytes = 65_536;

/**
 * Time for which the rest of a body is read and discarded before its connection
 * is closed, in ms. Closing it at once resets it, and the client might lose the
 * response.
 */
const lingerMs = 1_000;

/** A response with a body of known size. */
export interface WholeResponse {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: string;
}

/** Whether a connection can be kept, as the rest of the request is short. */
function canBeKept(req: IncomingMessage): boolean {
  if (req.complete || !hasBody(req)) return true;
  if (guardOf(req)?.isDropped) return false;
  const isSizeKnown = req.headers["transfer-encoding"] === undefined;
  return isSizeKnown && announcedBytes(req) <= maxSkippedBytes;
}

/** Ends a response after the rest of the request, or after a while. */
function endAfterRequest(req: IncomingMessage, res: ServerResponse): void {
  const end = () => {
    clearTimeout(timer);
    res.end();
  };
  const timer = setTimeout(end, lingerMs);
  req.once("end", end);
  req.once("close", end);
}

/**
 * Sends a response. Discards what was not read of the request, and closes the
 * connection if that is long or of unknown size. Does nothing if a response was
 * already sent or the connection is closed.
 */
export function sendResponse(
  req: IncomingMessage,
  res: ServerResponse,
  { status, headers, body }: WholeResponse,
): void {
  if (res.headersSent || res.destroyed) return;
  guardOf(req)?.noteResponse(body.length);
  if (canBeKept(req)) {
    res.writeHead(status, headers);
    res.end(body);
    return;
  }
  res.writeHead(status, { ...headers, connection: "close" });
  if (body === "") res.flushHeaders();
  else res.write(body);
  endAfterRequest(req, res);
}
