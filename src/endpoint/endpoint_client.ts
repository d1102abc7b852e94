/**
 * HTTP client for endpoints.
 *
 * Each connection carries one request at a time and the request id of each
 * answer is verified, so an answer is never delivered to another request. A
 * request is known not to have run only if no connection could be opened.
 */
import { Readable } from "node:stream";
import { Ok, type Result } from "ts-results";
import { Pool } from "undici";
import * as v from "valibot";
import { abortAfterResponsive, systemClock } from "../clock/index.ts";
import { codes, describeError, fail, type Failure } from "../errors/index.ts";
import type { Host } from "../hosts/index.ts";
import {
  type Answer,
  type EndpointRequest,
  type Failed,
  headerNames,
  type Outcome,
} from "../pipeline/request.ts";

/** Timeout for opening a connection, in ms. */
const connectTimeoutMs = 800;
/**
 * Timeout of a run query or a health check, in ms, without delays of this process.
 */
const queryTimeoutMs = 1_000;
/**
 * Idle time after which a connection is closed, in ms. It is short because a
 * connection may die unnoticed.
 */
const idleConnectionMs = 4_000;
/** Longest pause between two chunks of an answer's body, in ms. */
const bodyTimeoutMs = 10_000;
/**
 * Size in bytes up to which answers are buffered. Larger answers and those of
 * unknown size are streamed.
 */
export const maxBufferedAnswerBytes = 65_536;

/** Headers that concern one connection and are not forwarded to the caller. */
const connectionHeaders = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "upgrade",
  "proxy-authenticate",
  "trailer",
]);

/** Schema of an endpoint's answer to a run query. */
export const runStateSchema = v.object({
  state: v.picklist(["unknown", "running", "done"]),
  /** HTTP status of the answer. */
  status: v.optional(v.number()),
  /** Answer body in base64. */
  body: v.optional(v.string()),
  contentType: v.optional(v.string()),
});

/** State of a run as reported by its endpoint. */
export type RunState = v.InferOutput<typeof runStateSchema>;

/** Schema of an endpoint's answer to a health check. */
export const endpointHealthSchema = v.object({
  ok: v.boolean(),
  /** Changes with every boot of the host. */
  boot: v.string(),
  /** Number of runs in progress. */
  running: v.number(),
});

/** An endpoint's answer to a health check. */
export type EndpointHealth = v.InferOutput<typeof endpointHealthSchema>;

/** Sends requests to endpoints and queries their runs and health. */
export interface EndpointClient {
  /** Sends one request; an aborted request fails as `connectionLost`. */
  send(host: Host, req: EndpointRequest, signal: AbortSignal): Promise<Outcome>;
  /** Queries the state of a run. */
  queryRun(host: Host, run: RunQuery): Promise<Result<RunState, Failure>>;
  /** Queries the endpoint's health. */
  health(host: Host): Promise<Result<EndpointHealth, Failure>>;
}

/** Identifies a run by its attempt id, or by class and the caller's key. */
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
      // Without a listener, an error of a body that is discarded or breaks
      // later would end the process.
      res.body.on("error", () => {});
      if (res.headers[headerNames.requestId] !== req.attempt) {
        res.body.destroy();
        this.#retirePool(host.address, pool);
        return failed(codes.wrongAnswer, `wrong request id from ${host.name}`);
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

  /** Stops using a connection pool; its requests in flight still complete. */
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
    // A new connection is used because pooled ones may have died unnoticed.
    const pool = new Pool(host.address, {
      connections: 1,
      connectTimeout: connectTimeoutMs,
    });
    const timeout = abortAfterResponsive(systemClock, queryTimeoutMs);
    try {
      const { signal } = timeout;
      const res = await pool.request({ method: "GET", path, signal });
      const parsed = v.safeParse(schema, await res.body.json());
      if (res.statusCode === 200 && parsed.success) return Ok(parsed.output);
      return fail(
        codes.connectionLost,
        `${host.name}: invalid answer to ${path}`,
      );
    } catch (err) {
      return fail(codes.connectionLost, describeError(err));
    } finally {
      timeout.end();
      pool.destroy().catch(() => undefined);
    }
  }

  /** Converts an error of a request to an outcome. */
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

/** Whether an error shows that no connection was opened. */
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

/** Whether an answer's body is streamed rather than buffered. */
export function isStream(body: Answer["body"]): body is Readable {
  return body instanceof Readable;
}
