/** HTTP server of JSON calls on a loopback address, for the stand-ins. */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { listen, readRequestBody, sendJson } from "../fakes/json_http.ts";

/** Idle time after which a connection is closed, in ms. */
const idleTimeoutMs = 120_000;

/** A call as a stand-in gets it. */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  /** The decoded body; undefined if it is empty or not JSON. */
  readonly body: unknown;
  /** Size of the body in bytes. */
  readonly size: number;
}

/** The answer to a call. */
export interface Reply {
  readonly status: number;
  readonly body?: object;
}

/** Decodes a body; undefined if it is empty or not JSON. */
function parseBody(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString("utf8"));
  } catch {
    return undefined;
  }
}

/** Reads a call; undefined if its connection ends before. */
async function readCall(req: IncomingMessage): Promise<Call | undefined> {
  const bytes = await readRequestBody(req).catch(() => undefined);
  if (bytes === undefined) return undefined;
  const url = new URL(req.url ?? "/", "http://localhost");
  return {
    method: req.method ?? "",
    path: url.pathname,
    query: url.searchParams,
    headers: req.headers,
    body: parseBody(bytes),
    size: bytes.length,
  };
}

/** Passes each call to a handler and sends its reply. */
export class JsonServer {
  readonly #server: Server;

  constructor(private readonly handle: (call: Call) => Promise<Reply>) {
    this.#server = createServer((req, res) => this.#serve(req, res));
    this.#server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Listens on a free loopback port; returns the address. */
  listen(): Promise<string> {
    return listen(this.#server);
  }

  /** Stops listening and ends all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const call = await readCall(req);
    if (call === undefined) return;
    const reply = await this.handle(call);
    if (res.destroyed) return;
    sendJson(res, reply.status, reply.body ?? {});
  }
}
