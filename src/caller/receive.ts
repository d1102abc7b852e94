/**
 * The caller port: bounded HTTP requests in, one numbered end each.
 *
 * Filters in order: receive, classify, admit, queue, place, dispatch, reply.
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
import { type Classified, classify, isRunPath } from "./classify.ts";
import { type Executor, outcomeCode } from "../pipeline/index.ts";
import { readBody } from "./read_body.ts";
import { rawReply, replyAnswer, replyCode } from "./reply.ts";
import type { CallerRequest } from "../pipeline/index.ts";

const jobPath = /^\/jobs\/([A-Za-z0-9-]{1,80})(?:\?(.*))?$/;
const maxWaitSeconds = 60;
/** Longest wait of a caller that holds its connection for a job, in ms. */
const holdMs = 86_400_000;
const closePollMs = 20;

/** Bounds of the caller port. */
export interface ReceiveLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time for a caller to send its whole request in ms. */
  readonly requestMs: number;
  readonly connections: number;
}

/** The end of one request, for logs and metrics. */
export interface RequestEnd {
  readonly requestId: string;
  readonly class: string;
  readonly code: ResultCode;
  readonly ms: number;
  readonly attempts: number;
  readonly host?: string;
}

/** What the caller port needs of the entry. */
export interface ReceiverParts {
  readonly limits: ReceiveLimits;
  readonly admission: Admission;
  readonly executor: Executor;
  readonly jobs: JobService;
  readonly jobStore: JobStore;
  readonly ids: IdSource;
  readonly clock: Clock;
  table(): Table;
  liveEntries(): number;
  /** Undefined when requests are accepted, else why not. */
  unready(): ResultCode | undefined;
  ended(end: RequestEnd): void;
}

/** Serves callers. */
export class Receiver {
  readonly #server: Server;
  #open = 0;

  constructor(private readonly parts: ReceiverParts) {
    const { limits } = parts;
    this.#server = createServer({
      maxHeaderSize: limits.headerBytes,
      requestTimeout: limits.requestMs,
      headersTimeout: limits.requestMs,
      connectionsCheckingInterval: Math.min(1_000, limits.requestMs),
      keepAliveTimeout: 30_000,
    }, (req, res) => this.#receive(req, res));
    this.#server.maxConnections = limits.connections;
    this.#server.on(
      "clientError",
      (err, socket) => refuseSocket(err, socket as Socket),
    );
  }

  /** Requests that have not ended. */
  get open(): number {
    return this.#open;
  }

  /** Listens on an address. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Accepts no more connections and waits for the open requests. */
  async close(limitMs: number): Promise<void> {
    const giveUpAt = this.parts.clock.now() + limitMs;
    while (this.#open > 0 && this.parts.clock.now() < giveUpAt) {
      await delay(this.parts.clock, closePollMs);
    }
    this.#server.close();
    this.#server.closeIdleConnections();
    await delay(this.parts.clock, closePollMs);
    this.#server.closeAllConnections();
  }

  #receive(req: IncomingMessage, res: ServerResponse): void {
    const url = req.url ?? "/";
    if (isRunPath(url)) {
      this.#open++;
      res.once("close", () => this.#open--);
      this.#run(req, res, url);
    } else if (url.startsWith("/jobs/")) {
      this.#open++;
      res.once("close", () => this.#open--);
      this.#job(req, res, url);
    } else {
      this.#probe(res, url);
    }
  }

  #probe(res: ServerResponse, url: string): void {
    const unready = this.parts.unready();
    const id = this.parts.ids.next();
    if (url === "/live" || (url === "/ready" && unready === undefined)) {
      const message = url.slice(1);
      return replyCode(res, { code: codes.ok, message }, id);
    }
    const code = url === "/ready" && unready !== undefined
      ? unready
      : codes.badRequest;
    replyCode(res, { code, message: code.meaning }, id);
  }

  async #run(
    req: IncomingMessage,
    res: ServerResponse,
    url: string,
  ): Promise<void> {
    const { parts } = this;
    const exchange = new Exchange(parts, req, res);
    const unready = parts.unready();
    if (unready !== undefined) return exchange.refuse(unready);
    const table = parts.table();
    const classified = classify(table, req.method ?? "", url, req.headers);
    if (classified.err) return exchange.fail(classified.val);
    const { row } = classified.val;
    exchange.className = row.name;
    const limit = parts.admission.admit(row, parts.liveEntries());
    if (limit !== undefined) return exchange.refuse(limit);
    try {
      await this.#runAdmitted(exchange, classified.val, table.version);
    } catch (err) {
      exchange.fail({ code: codes.internal, message: describeError(err) });
    } finally {
      parts.admission.finish(row);
    }
  }

  async #runAdmitted(
    exchange: Exchange,
    classified: Classified,
    tableVersion: number,
  ): Promise<void> {
    const { parts } = this;
    const { req, res, id } = exchange;
    const body = await readBody(req, parts.limits.bodyBytes);
    if (body.err) return exchange.fail(body.val);
    const abort = new AbortController();
    res.once("close", () => {
      if (!res.writableFinished) abort.abort();
    });
    const request = toRequest(
      id,
      tableVersion,
      req.method ?? "",
      classified,
      body.val,
      exchange.startedAt,
      abort.signal,
    );
    const { row, async } = classified;
    if (row.repeat === "once" || async) {
      return await this.#record(exchange, request, async);
    }
    const { outcome, attempts, host } = await parts.executor.execute(request);
    const code = outcomeCode(outcome);
    if (outcome.kind === "failed") replyCode(res, outcome.failure, id);
    else replyAnswer(res, outcome, code, id);
    exchange.end(code, attempts, host);
  }

  /** Records a job, and waits for its end unless the caller polls. */
  async #record(
    exchange: Exchange,
    req: CallerRequest,
    async: boolean,
  ): Promise<void> {
    const { res } = exchange;
    const submitted = await this.parts.jobs.submit(req);
    if (submitted.err) return exchange.fail(submitted.val);
    const { id, state } = submitted.val.value;
    if (async) {
      const failure = { code: codes.accepted, message: "recorded" };
      replyCode(res, failure, req.id, { id, state, location: `/jobs/${id}` });
      return exchange.end(codes.accepted, 0);
    }
    const job = await this.parts.jobs.wait(id, holdMs, req.signal);
    if (job.err) {
      const code = codes.unsettled;
      replyCode(res, { code, message: job.val.message }, req.id, { id });
      return exchange.end(code, 0);
    }
    exchange.end(await this.#replyJob(res, job.val, req.id), 1);
  }

  async #job(
    req: IncomingMessage,
    res: ServerResponse,
    url: string,
  ): Promise<void> {
    const requestId = this.parts.ids.next();
    const match = jobPath.exec(url);
    if (match === null) {
      const code = codes.badRequest;
      return replyCode(res, { code, message: "no job id" }, requestId);
    }
    const [, id, query] = match;
    if (req.method === "DELETE") {
      const cancelled = await this.parts.jobs.cancel(id, {
        who: "caller",
        at: this.parts.clock.wall(),
        operation: requestId,
      });
      if (cancelled.err) return replyCode(res, cancelled.val, requestId);
      await this.#replyJob(res, cancelled.val, requestId);
      return;
    }
    if (req.method !== "GET") {
      const code = codes.methodNotAllowed;
      return replyCode(res, { code, message: code.meaning }, requestId);
    }
    const abort = new AbortController();
    res.once("close", () => abort.abort());
    const asked = Number(new URLSearchParams(query ?? "").get("wait") ?? 0);
    const seconds = Math.min(maxWaitSeconds, Math.max(0, asked || 0));
    const job = await this.parts.jobs.wait(id, seconds * 1000, abort.signal);
    if (job.err) return replyCode(res, job.val, requestId);
    await this.#replyJob(res, job.val, requestId);
  }

  /** Replies with a job's result or state; returns the code. */
  async #replyJob(
    res: ServerResponse,
    job: StoredJob,
    requestId: string,
  ): Promise<ResultCode> {
    const { id, state, result, note } = job.value;
    if (state !== "done" || result === undefined) {
      const code = state === "done" ? codes.ok : stateCodes[state];
      const message = note ?? code.meaning;
      replyCode(res, { code, message }, requestId, { id, state });
      return code;
    }
    const body = await this.parts.jobStore.loadBody(result.body);
    if (body.err) {
      replyCode(res, body.val, requestId, { id, state });
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

/** One request on the caller port, from its receipt to its one end. */
class Exchange {
  readonly id: string;
  /** Monotonic time of the receipt in ms. */
  readonly startedAt: number;
  className = "";

  constructor(
    private readonly parts: ReceiverParts,
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
  ) {
    this.id = parts.ids.next();
    this.startedAt = parts.clock.now();
  }

  /** Refuses with a code's own meaning. */
  refuse(code: ResultCode): void {
    this.fail({ code, message: code.meaning });
  }

  /** Replies with a failure and ends. */
  fail(failure: Failure): void {
    const sendsStill = !this.req.complete && !this.res.headersSent;
    if (sendsStill) this.res.setHeader("connection", "close");
    replyCode(this.res, failure, this.id);
    this.end(failure.code, 0);
  }

  /** Reports the end. */
  end(code: ResultCode, attempts: number, host?: string): void {
    this.parts.ended({
      requestId: this.id,
      class: this.className,
      code,
      ms: this.parts.clock.now() - this.startedAt,
      attempts,
      host,
    });
  }
}

const stateCodes = {
  claimed: codes.stillRunning,
  started: codes.stillRunning,
  cancelled: codes.jobCancelled,
  parked: codes.parked,
  unknown: codes.unsettled,
} as const;

function toRequest(
  id: string,
  tableVersion: number,
  method: string,
  classified: Classified,
  body: Uint8Array,
  startedAt: number,
  signal: AbortSignal,
): CallerRequest {
  const { row, path, headers, key, deadlineMs } = classified;
  return {
    id,
    class: row,
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

function refuseSocket(err: Error, socket: Socket): void {
  if (!socket.writable) return;
  const { code } = err as { code?: string };
  const result = code === "HPE_HEADER_OVERFLOW"
    ? codes.headersTooLarge
    : code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? codes.slowCaller
    : codes.badRequest;
  socket.end(rawReply(result));
}
