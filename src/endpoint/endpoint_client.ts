/**
 * HTTP client of the endpoints.
 *
 * One request at a time per connection, and the answer's request id is
 * compared, so an answer cannot reach another request. A failure counts as
 * not run only when no connection was opened.
 */
import { Readable } from "node:stream";
import { Ok, type Result } from "ts-results";
import { Pool } from "undici";
import * as v from "valibot";
import { codes, describeError, fail, type Failure } from "../errors/index.ts";
import type { Host } from "../hosts/index.ts";
import {
  type Answer,
  type EndpointRequest,
  type Failed,
  headerNames,
  type Outcome,
} from "../pipeline/request.ts";

const connectTimeoutMs = 800;
const queryTimeoutMs = 1_000;
/** Idle connections are closed early: one may have gone silent unnoticed. */
const idleConnectionMs = 4_000;
/** Longest pause within an answer's body. */
const bodyTimeoutMs = 10_000;
/** Answers up to this size are read whole before they are passed on. */
export const maxBufferedAnswerBytes = 65_536;

const connectionHeaders = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "upgrade",
  "proxy-authenticate",
  "trailer",
]);

export const runStateSchema = v.object({
  state: v.picklist(["unknown", "running", "done"]),
  status: v.optional(v.number()),
  /** Answer body in base64. */
  body: v.optional(v.string()),
  contentType: v.optional(v.string()),
});

/** What an endpoint knows of a run. */
export type RunState = v.InferOutput<typeof runStateSchema>;

export const endpointHealthSchema = v.object({
  ok: v.boolean(),
  /** Changes with every boot of the host. */
  boot: v.string(),
  /** Runs in progress. */
  running: v.number(),
});

/** An endpoint's report of itself. */
export type EndpointHealth = v.InferOutput<typeof endpointHealthSchema>;

/** Sends requests to endpoints and asks them about runs. */
export interface EndpointClient {
  /** Sends one request; an aborted one ends as `connectionLost`. */
  send(host: Host, req: EndpointRequest, signal: AbortSignal): Promise<Outcome>;
  /** Asks for a run by its attempt id or by the caller's key. */
  queryRun(host: Host, run: RunQuery): Promise<Result<RunState, Failure>>;
  /** Asks for the endpoint's health. */
  health(host: Host): Promise<Result<EndpointHealth, Failure>>;
}

/** Names a run by attempt, or by class and key. */
export type RunQuery =
  | { readonly attempt: string }
  | { readonly class: string; readonly key: string };

/** `EndpointClient` over HTTP. */
export class HttpEndpointClient implements EndpointClient {
  #pools = new Map<string, Pool>();

  async send(
    host: Host,
    req: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const pool = this.#poolOf(host);
    try {
      const res = await pool.request({
        method: req.method as "POST",
        path: req.path,
        headers: req.headers,
        body: req.body.length > 0 ? req.body : null,
        headersTimeout: req.runMs,
        bodyTimeout: bodyTimeoutMs,
        signal,
      });
      // A body that is dropped or breaks later must not end the process.
      res.body.on("error", () => {});
      if (res.headers[headerNames.requestId] !== req.attempt) {
        res.body.destroy();
        this.#retirePool(host.address, pool);
        return failed(codes.wrongAnswer, `answer of ${host.name}`);
      }
      const headers = forwardedHeaders(res.headers);
      const size = Number(res.headers["content-length"] ?? Infinity);
      const body = size <= maxBufferedAnswerBytes
        ? new Uint8Array(await res.body.arrayBuffer())
        : res.body;
      return { kind: "answer", status: res.statusCode, headers, body };
    } catch (err) {
      return this.#failedOutcomeOf(host, pool, err);
    }
  }

  async queryRun(
    host: Host,
    run: RunQuery,
  ): Promise<Result<RunState, Failure>> {
    const query = new URLSearchParams(run).toString();
    return await this.#query(host, `/briartide/runs?${query}`, runStateSchema);
  }

  async health(host: Host): Promise<Result<EndpointHealth, Failure>> {
    return await this.#query(host, "/briartide/health", endpointHealthSchema);
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map((p) => p.destroy()));
    this.#pools.clear();
  }

  #poolOf(host: Host): Pool {
    let pool = this.#pools.get(host.address);
    if (pool === undefined) {
      pool = new Pool(host.address, {
        connections: host.slots,
        pipelining: 1,
        connectTimeout: connectTimeoutMs,
        keepAliveTimeout: idleConnectionMs,
        keepAliveMaxTimeout: idleConnectionMs,
      });
      this.#pools.set(host.address, pool);
    }
    return pool;
  }

  /** Replaces the connections of a host; work in flight finishes on the old. */
  #retirePool(address: string, pool: Pool): void {
    if (this.#pools.get(address) !== pool) return;
    this.#pools.delete(address);
    pool.close().catch(() => undefined);
  }

  async #query<T extends v.GenericSchema>(
    host: Host,
    path: string,
    schema: T,
  ): Promise<Result<v.InferOutput<T>, Failure>> {
    // A connection of its own: those of the pool may have gone silent.
    const pool = new Pool(host.address, {
      connections: 1,
      connectTimeout: connectTimeoutMs,
    });
    try {
      const signal = AbortSignal.timeout(queryTimeoutMs);
      const res = await pool.request({ method: "GET", path, signal });
      const parsed = v.safeParse(schema, await res.body.json());
      if (res.statusCode === 200 && parsed.success) return Ok(parsed.output);
      return fail(codes.connectionLost, `${host.name} answered ${path} oddly`);
    } catch (err) {
      return fail(codes.connectionLost, describeError(err));
    } finally {
      pool.destroy().catch(() => undefined);
    }
  }

  #failedOutcomeOf(host: Host, pool: Pool, err: unknown): Failed {
    const code = (err as { code?: string }).code ?? "";
    const message = `${host.name}: ${describeError(err)}`;
    if (isConnectFailure(err)) return failed(codes.connectFailed, message);
    if (code === "UND_ERR_HEADERS_TIMEOUT") {
      this.#retirePool(host.address, pool);
      return failed(codes.runTimeout, message);
    }
    if (code === "UND_ERR_RES_CONTENT_LENGTH_MISMATCH") {
      return failed(codes.truncated, message);
    }
    return failed(codes.connectionLost, message);
  }
}

function isConnectFailure(err: unknown): boolean {
  const { code, syscall } = err as { code?: string; syscall?: string };
  return code === "UND_ERR_CONNECT_TIMEOUT" || syscall === "connect";
}

function failed(code: Failure["code"], message: string): Failed {
  return { kind: "failed", failure: { code, message } };
}

function forwardedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || connectionHeaders.has(name)) continue;
    forwarded[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return forwarded;
}

/** Whether an answer's body arrives as a stream. */
export function isStream(body: Answer["body"]): body is Readable {
  return body instanceof Readable;
}
