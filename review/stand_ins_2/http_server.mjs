/** A small HTTP server for JSON calls on a loopback address. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

/** Resolves after `ms`. */
export function delay(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Parses a body; undefined if it is empty or not JSON. */
function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Passes each call to a handler, which returns the status and the body of the
 * response, or undefined for none.
 */
export class HttpServer {
  #server;

  constructor(handle) {
    this.#server = createServer(async (req, res) => {
      const chunks = [];
      try {
        for await (const chunk of req) chunks.push(chunk);
      } catch {
        return;
      }
      const bytes = Buffer.concat(chunks);
      const url = new URL(req.url, "http://localhost");
      const answer = await handle({
        method: req.method,
        path: url.pathname,
        query: Object.fromEntries(url.searchParams),
        headers: req.headers,
        body: parse(bytes.toString("utf8")) ?? {},
        size: bytes.length,
      });
      if (answer === undefined || res.destroyed) return;
      const text = answer.body === undefined ? "" : JSON.stringify(answer.body);
      res.writeHead(answer.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      res.end(text);
    });
    this.#server.keepAliveTimeout = 120_000;
  }

  /** Listens at a port, 0 for a free one; returns the address. */
  listen(port = 0) {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        this.address = `127.0.0.1:${this.#server.address().port}`;
        resolve(this.address);
      });
    });
  }

  /** Stops listening and ends all connections. */
  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
