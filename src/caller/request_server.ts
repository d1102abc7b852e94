/**
 * The HTTP server for callers. It limits the size, duration and number of
 * requests, and each request that is received ends with one numbered result.
 *
 * The stages of a request are, in order: receive, classify, admit, queue,
 * place, dispatch, reply.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { type Clock, delay, type IdSource } from "../clock/index.ts";
import {
  codes,
  describeError,
  type Failure,
  type ResultCode,
} from "../errors/index.ts";
import type { JobService, StoredJob } from "../jobs/index.ts";
import type { JobStore } from "../jobs/index.ts";
import type { Table } from "../table/index.ts";
import type { Admission } from "../pipeline/index.ts";
import {
  type ClassifiedRequest,
  classifyRequest,
  isRunPath,
} from "./classify.ts";
import { type Executor, outcomeCode } from "../pipeline/index.ts";
import { readBody } from "./read_body.ts";
import { formatRawReply, replyAnswer, replyResult } from "./reply.ts";
import type { CallerRequest } from "../pipeline/index.ts";

/** Path of a job, with the job id and the query as groups. */
const jobPath = /^\/jobs\/([A-Za-z0-9-]{1,80})(?:\?(.*))?$/;
/** Maximum of the query parameter `wait` of `GET /jobs/ID`, in seconds. */
const maxPollWaitSeconds = 60;
/**
 * Maximum time in ms that a caller's connection is held open until the job that
 * it submitted has ended: one day.
 */
const maxHeldWaitMs = 86_400_000;
/** Interval in ms at which closing checks for open requests. */
const closePollMs = 20;

/** Limits of the server. */
export interface RequestServerLimits {
  /** Maximum total size of the headers of a request, in bytes. */
  readonly maxHeaderBytes: number;
  /** Maximum size of a request body in bytes. */
  readonly maxBodyBytes: number;
  /** Maximum time to receive a whole request, in ms. */
  readonly requestTimeoutMs: number;
  /** Maximum number of open connections. */
  readonly maxConnections: number;
}

/** Summary of an ended request, for logs and metrics. */
export interface EndedRequest {
  readonly requestId: string;
  /** Name of the class; empty if the request ended before classification. */
  readonly class: string;
  readonly code: ResultCode;
  /** Time in ms from receipt to end. */
  readonly ms: number;
  /** Number of attempts to run the request. */
  readonly attempts: number;
  /** Host of the last attempt. */
  readonly host?: string;
}

/** Dependencies of the server. */
export interface RequestServerDependencies {
  readonly limits: RequestServerLimits;
  readonly admission: Admission;
  readonly executor: Executor;
  readonly jobs: JobService;
  readonly jobStore: JobStore;
  readonly ids: IdSource;
  readonly clock: Clock;
  /** Returns the table in force. */
  table(): Table;
  /** Returns the number of live entries, including this one. */
  liveEntryCount(): number;
  /** Returns why requests are refused, or undefined if they are accepted. */
  notReadyReason(): ResultCode | undefined;
  /** Called once for each ended request. */
  onRequestEnded(end: EndedRequest): void;
}

/** Accepts requests from callers and replies with answers or failures. */
export class RequestServer {
  readonly #server: Server;
  #openRequests = 0;

  constructor(private readonly deps: RequestServerDependencies) {
    const { limits } = deps;
    this.#server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      requestTimeout: limits.requestTimeoutMs,
      headersTimeout: limits.requestTimeoutMs,
      connectionsCheckingInterval: Math.min(1_000, limits.requestTimeoutMs),
      keepAliveTimeout: 30_000,
    }, (req, res) => this.#route(req, res));
    this.#server.maxConnections = limits.maxConnections;
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
      this.#openRequests++;
      res.once("close", () => this.#openRequests--);
      this.#handleRun(req, res, url);
    } else if (url.startsWith("/jobs/")) {
      this.#openRequests++;
      res.once("close", () => this.#openRequests--);
      this.#handleJob(req, res, url);
    } else {
      this.#handleProbe(res, url);
    }
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

  async #handleRun(
    req: IncomingMessage,
    res: ServerResponse,
    url: string,
  ): Promise<void> {
    const { deps } = this;
    const exchange = new Exchange(deps, req, res);
    const notReady = deps.notReadyReason();
    if (notReady !== undefined) return exchange.refuse(notReady);
    const table = deps.table();
    const classified = classifyRequest(
      table,
      req.method ?? "",
      url,
      req.headers,
    );
    if (classified.err) return exchange.fail(classified.val);
    const { classRow } = classified.val;
    exchange.className = classRow.name;
    const rejection = deps.admission.admit(classRow, deps.liveEntryCount());
    if (rejection !== undefined) return exchange.refuse(rejection);
    try {
      await this.#runAdmitted(exchange, classified.val, table.version);
    } catch (err) {
      exchange.fail({ code: codes.internal, message: describeError(err) });
    } finally {
      deps.admission.finish(classRow);
    }
  }

  async #runAdmitted(
    exchange: Exchange,
    classified: ClassifiedRequest,
    tableVersion: number,
  ): Promise<void> {
    const { deps } = this;
    const { req, res, id } = exchange;
    const body = await readBody(req, deps.limits.maxBodyBytes);
    if (body.err) return exchange.fail(body.val);
    const abort = new AbortController();
    res.once("close", () => {
      if (!res.writableFinished) abort.abort();
    });
    const request = toCallerRequest(
      id,
      tableVersion,
      req.method ?? "",
      classified,
      body.val,
      exchange.startedAt,
      abort.signal,
    );
    const { classRow, respondAsync } = classified;
    if (classRow.repeat === "once" || respondAsync) {
      return await this.#runAsJob(exchange, request, respondAsync);
    }
    const { outcome, attempts, host } = await deps.executor.execute(request);
    const code = outcomeCode(outcome);
    if (outcome.kind === "failed") replyResult(res, outcome.failure, id);
    else replyAnswer(res, outcome, code, id);
    exchange.reportEnd(code, attempts, host);
  }

  /**
   * Records a request as a job. Replies with the job's id if the caller polls
   * for the result, else with the result once the job has ended.
   */
  async #runAsJob(
    exchange: Exchange,
    req: CallerRequest,
    respondAsync: boolean,
  ): Promise<void> {
    const { res } = exchange;
    const submitted = await this.deps.jobs.submit(req);
    if (submitted.err) return exchange.fail(submitted.val);
    const { id, state } = submitted.val.value;
    if (respondAsync) {
      const acceptance = { code: codes.accepted, message: "recorded" };
      replyResult(res, acceptance, req.id, {
        id,
        state,
        location: `/jobs/${id}`,
      });
      return exchange.reportEnd(codes.accepted, 0);
    }
    const job = await this.deps.jobs.wait(id, maxHeldWaitMs, req.signal);
    if (job.err) {
      const code = codes.unsettled;
      replyResult(res, { code, message: job.val.message }, req.id, { id });
      return exchange.reportEnd(code, 0);
    }
    exchange.reportEnd(await this.#replyJob(res, job.val, req.id), 1);
  }

  async #handleJob(
    req: IncomingMessage,
    res: ServerResponse,
    url: string,
  ): Promise<void> {
    const requestId = this.deps.ids.next();
    const match = jobPath.exec(url);
    if (match === null) {
      const code = codes.badRequest;
      return replyResult(res, {
        code,
        message: "the path contains no valid job id",
      }, requestId);
    }
    const [, id, query] = match;
    if (req.method === "DELETE") {
      const cancelled = await this.deps.jobs.cancel(id, {
        who: "caller",
        at: this.deps.clock.wall(),
        operation: requestId,
      });
      if (cancelled.err) return replyResult(res, cancelled.val, requestId);
      await this.#replyJob(res, cancelled.val, requestId);
      return;
    }
    if (req.method !== "GET") {
      const code = codes.methodNotAllowed;
      return replyResult(res, { code, message: code.meaning }, requestId);
    }
    const abort = new AbortController();
    res.once("close", () => abort.abort());
    const requestedSeconds = Number(
      new URLSearchParams(query ?? "").get("wait") ?? 0,
    );
    const seconds = Math.min(
      maxPollWaitSeconds,
      Math.max(0, requestedSeconds || 0),
    );
    const job = await this.deps.jobs.wait(id, seconds * 1000, abort.signal);
    if (job.err) return replyResult(res, job.val, requestId);
    await this.#replyJob(res, job.val, requestId);
  }

  /** Replies with a job's result or state; returns the result code. */
  async #replyJob(
    res: ServerResponse,
    job: StoredJob,
    requestId: string,
  ): Promise<ResultCode> {
    const { id, state, result, note } = job.value;
    if (state !== "done" || result === undefined) {
      const code = state === "done" ? codes.ok : codesByJobState[state];
      const message = note ?? code.meaning;
      replyResult(res, { code, message }, requestId, { id, state });
      return code;
    }
    const body = await this.deps.jobStore.loadBody(result.body);
    if (body.err) {
      replyResult(res, body.val, requestId, { id, state });
      return body.val.code;
    }
    const headers = { "content-type": result.contentType };
    const answer = {
      kind: "answer",
      status: result.status,
      headers,
      body: body.val,
    } as const;
    const code = outcomeCode(answer);
    replyAnswer(res, answer, code, requestId);
    return code;
  }
}

/** A request and its response, from receipt to the single reported end. */
class Exchange {
  readonly id: string;
  /** Monotonic time of receipt in ms. */
  readonly startedAt: number;
  /** Name of the class; empty until the request is classified. */
  className = "";

  constructor(
    private readonly deps: RequestServerDependencies,
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
  ) {
    this.id = deps.ids.next();
    this.startedAt = deps.clock.now();
  }

  /** Replies with a code and its description, and ends. */
  refuse(code: ResultCode): void {
    this.fail({ code, message: code.meaning });
  }

  /** Replies with a failure and ends. */
  fail(failure: Failure): void {
    // A connection kept open would require reading the rest of the request.
    const requestIncomplete = !this.req.complete && !this.res.headersSent;
    if (requestIncomplete) this.res.setHeader("connection", "close");
    replyResult(this.res, failure, this.id);
    this.reportEnd(failure.code, 0);
  }

  /** Reports the end of the request for logs and metrics. */
  reportEnd(code: ResultCode, attempts: number, host?: string): void {
    this.deps.onRequestEnded({
      requestId: this.id,
      class: this.className,
      code,
      ms: this.deps.clock.now() - this.startedAt,
      attempts,
      host,
    });
  }
}

/** Result codes for jobs that are not done, by state. */
const codesByJobState = {
  claimed: codes.stillRunning,
  started: codes.stillRunning,
  cancelled: codes.jobCancelled,
  parked: codes.parked,
  unknown: codes.unsettled,
} as const;

function toCallerRequest(
  id: string,
  tableVersion: number,
  method: string,
  classified: ClassifiedRequest,
  body: Uint8Array,
  startedAt: number,
  signal: AbortSignal,
): CallerRequest {
  const { classRow, path, headers, key, deadlineMs } = classified;
  return {
    id,
    class: classRow,
    tableVersion,
    method,
    path,
    headers,
    body,
    startBy: deadlineMs === undefined ? undefined : startedAt + deadlineMs,
    key,
    signal,
  };
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
