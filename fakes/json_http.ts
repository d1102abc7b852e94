/** HTTP helpers of the fake services. */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Server } from "node:net";

/** Reads the whole body of a request. */
export async function readRequestBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Sends a JSON response. */
export function sendJson(
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

/**
 * Listens on a loopback port, or on a free one if `port` is 0, and returns the
 * address as `host:port`. Rejects if the port cannot be bound.
 */
export async function listen(server: Server, port = 0): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  const address = server.address();
  if (address === null || typeof address === "string") {
    throw new Error("the server is not bound to a TCP port");
  }
  return `127.0.0.1:${address.port}`;
}
