/**
 * The HTTP server for callers. It limits the size, duration and number of
 * requests, and each request that is received ends with one numbered result.
 *
 * The stages of a request are, in order: receive, classify, admit, queue,
 * place, dispatch, reply.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { delay } from "../clock/index.ts";
import {
  type ConnectionLimits,
  createGuardedServer,
  defaultConnectionLimits,
  defaultGuard,
} from "../connection_budget/index.ts";
import { codes } from "../errors/index.ts";
import { isRunPath } from "./classify.ts";
import type {
  RequestServerDependencies,
  RequestServerLimits,
} from "./dependencies.ts";
import { JobHandler } from "./job_handler.ts";
import { formatRawReply, replyResult } from "./reply.ts";
import { RunHandler } from "./run_handler.ts";

/** Interval in ms at which closing checks for open requests. */
const closePollMs = 20;

/** Time after which an idle connection is closed, in ms. */
const idleTimeoutMs = 30_000;

/** Limits of the connections; a caller may wait for a job for any time. */
function connectionLimits(limits: RequestServerLimits): ConnectionLimits {
  const { requestsAhead } = defaultConnectionLimits;
  return {
    ...defaultConnectionLimits,
    connections: limits.maxConnections,
    requestsAhead: limits.maxRequestsAhead ?? requestsAhead,
    headerBytes: limits.maxHeaderBytes,
    headersMs: limits.requestTimeoutMs,
    requestMs: limits.requestTimeoutMs,
    idleMs: idleTimeoutMs,
    stallMs: 0,
  };
}

/** Accepts requests from callers and replies with answers or failures. */
export class RequestServer {
  readonly #server: Server;
  readonly #runs: RunHandler;
  readonly #jobs: JobHandler;
  #openRequests = 0;

  constructor(private readonly deps: RequestServerDependencies) {
    const { limits } = deps;
    this.#jobs = new JobHandler(deps);
    this.#runs = new RunHandler(deps, this.#jobs);
    const guard = {
      budget: deps.budget ?? defaultGuard().budget,
      limits: connectionLimits(limits),
    };
    this.#server = createGuardedServer(
      guard,
      (req, res) => this.#route(req, res),
    );
    this.#server.on(
      "clientError",
      (err, socket) => replyToClientError(err, socket as Socket),
    );
  }

  /** Number of requests that have not ended. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Listens on an address; rejects if that fails. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Waits up to `timeoutMs` for open requests to end, then stops listening and
   * closes all connections.
   */
  async close(timeoutMs: number): Promise<void> {
    const deadline = this.deps.clock.now() + timeoutMs;
    while (this.#openRequests > 0 && this.deps.clock.now() < deadline) {
      await delay(this.deps.clock, closePollMs);
    }
    this.#server.close();
    this.#server.closeIdleConnections();
    await delay(this.deps.clock, closePollMs);
    this.#server.closeAllConnections();
  }

  #route(req: IncomingMessage, res: ServerResponse): void {
    const url = req.url ?? "/";
    if (isRunPath(url)) {
      this.#countOpenRequest(res);
      this.#runs.handle(req, res, url);
    } else if (url.startsWith("/jobs/")) {
      this.#countOpenRequest(res);
      this.#jobs.handle(req, res, url);
    } else {
      this.#handleProbe(res, url);
    }
  }

  #countOpenRequest(res: ServerResponse): void {
    this.#openRequests++;
    res.once("close", () => this.#openRequests--);
  }

  /** Replies to `/live` and `/ready`; refuses any other path. */
  #handleProbe(res: ServerResponse, url: string): void {
    const notReady = this.deps.notReadyReason();
    const id = this.deps.ids.next();
    if (url === "/live" || (url === "/ready" && notReady === undefined)) {
      const message = url.slice(1);
      return replyResult(res, { code: codes.ok, message }, id);
    }
    const code = url === "/ready" && notReady !== undefined
      ? notReady
      : codes.badRequest;
    replyResult(res, { code, message: code.meaning }, id);
  }
}

/** Replies to a request that the HTTP parser rejected or that timed out. */
function replyToClientError(err: Error, socket: Socket): void {
  if (!socket.writable) return;
  const { code } = err as { code?: string };
  const result = code === "HPE_HEADER_OVERFLOW"
    ? codes.headersTooLarge
    : code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? codes.slowCaller
    : codes.badRequest;
  socket.end(formatRawReply(result));
}
