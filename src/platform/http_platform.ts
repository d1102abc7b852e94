/**
 * HTTP client of the platform's services.
 *
 * Transactions that are submitted at about the same time are sent in one call.
 * A call that fails is repeated with the same operation ids until the commit
 * timeout: if only the response was lost, the platform returns the recorded
 * outcome.
 */
import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { Ok, type Result } from "ts-results";
import { Pool } from "undici";
import * as v from "valibot";
import { abortAfterResponsive, systemClock } from "../clock/index.ts";
import { codes, describeError, fail, type Failure } from "../errors/index.ts";
import {
  type ObjectStore,
  type Platform,
  type PlatformCommitOutcome,
  platformCommitOutcomeSchema,
  type PlatformListedHost,
  platformListedHostSchema,
  type PlatformRow,
  platformRowSchema,
  type PlatformTransaction,
  type ReadQuery,
  type TableService,
} from "./platform.ts";

/** Most transactions in one call. */
const maxBatchSize = 64;

/** Pause before a commit is repeated, in ms. */
const retryPauseMs = 50;

/** Statuses with which the platform confirms that a call had no effect. */
const refusedStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Connections to the platform. */
const maxConnections = 8;

const rowsSchema = v.object({ rows: v.array(platformRowSchema) });
const outcomesSchema = v.object({
  outcomes: v.array(platformCommitOutcomeSchema),
});
const hostsSchema = v.object({ hosts: v.array(platformListedHostSchema) });

/** Options of `HttpPlatform`. */
export interface HttpPlatformOptions {
  /** Base URL of the services. */
  readonly url: string;
  /** Availability zone of this process, sent with each call. */
  readonly zone: string;
  /** Timeout of one call, in ms, without delays of this process. */
  readonly callTimeoutMs: number;
  /** Timeout of a transaction including its repeats, in ms. */
  readonly commitTimeoutMs: number;
}

/** Counts of the calls made, for metrics and benchmarks. */
export interface PlatformCallCounts {
  readCalls: number;
  commitCalls: number;
  transactions: number;
}

/** A transaction that waits to be sent. */
interface PendingCommit {
  readonly tx: PlatformTransaction;
  readonly resolve: (outcome: Result<PlatformCommitOutcome, Failure>) => void;
}

/** A response with a status other than 429, below 500. */
interface HttpResponse {
  readonly status: number;
  readonly bytes: Uint8Array;
}

/** Fails with `commitRefused` for a status outside the 2xx range. */
function expectSuccess(status: number, path: string): Result<void, Failure> {
  return status >= 200 && status < 300
    ? Ok(undefined)
    : fail(codes.commitRefused, `platform answered ${status} to ${path}`);
}

/** Implements `Platform` over HTTP and JSON. */
export class HttpPlatform implements Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  /** Calls made since the start. */
  readonly callCounts: PlatformCallCounts = {
    readCalls: 0,
    commitCalls: 0,
    transactions: 0,
  };
  #pool: Pool;
  #pendingCommits: PendingCommit[] = [];
  #isFlushScheduled = false;

  constructor(private readonly options: HttpPlatformOptions) {
    this.#pool = this.#openPool();
    this.table = {
      read: (query) => this.#read(query),
      commit: (tx) => this.#enqueue(tx),
    };
    this.objects = {
      put: (name, bytes) => this.#put(name, bytes),
      get: (name) => this.#get(name),
    };
  }

  async listHosts(): Promise<Result<readonly PlatformListedHost[], Failure>> {
    const result = await this.#json("GET", "/v1/hosts", undefined, hostsSchema);
    return result.map((body) => body.hosts);
  }

  async reboot(
    host: string,
    operation: string,
  ): Promise<Result<void, Failure>> {
    const body = { host, action: "reboot", operation };
    const result = await this.#json("POST", "/v1/tasks", body, v.object({}));
    return result.map(() => undefined);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #openPool(): Pool {
    return new Pool(this.options.url, {
      connections: maxConnections,
      pipelining: 1,
      connectTimeout: this.options.callTimeoutMs,
    });
  }

  async #read(
    query: ReadQuery,
  ): Promise<Result<readonly PlatformRow[], Failure>> {
    this.callCounts.readCalls++;
    const result = await this.#json(
      "POST",
      "/v1/table/read",
      query,
      rowsSchema,
    );
    return result.map((body) => body.rows as readonly PlatformRow[]);
  }

  /** Adds a transaction to the next batch, which is sent after 1 ms. */
  #enqueue(
    tx: PlatformTransaction,
  ): Promise<Result<PlatformCommitOutcome, Failure>> {
    return new Promise((resolve) => {
      this.#pendingCommits.push({ tx, resolve });
      if (this.#isFlushScheduled) return;
      this.#isFlushScheduled = true;
      setTimeout(() => this.#flush(), 1);
    });
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    while (this.#pendingCommits.length > 0) {
      const batch = this.#pendingCommits.splice(0, maxBatchSize);
      this.#commitBatch(batch);
    }
  }

  async #commitBatch(batch: readonly PendingCommit[]): Promise<void> {
    const outcome = await this.#sendBatch(batch.map((p) => p.tx));
    batch.forEach((p, i) => p.resolve(outcome.map((list) => list[i])));
  }

  /** Sends a batch, and repeats it after a failure until the commit timeout. */
  async #sendBatch(
    transactions: readonly PlatformTransaction[],
  ): Promise<Result<readonly PlatformCommitOutcome[], Failure>> {
    const deadline = performance.now() + this.options.commitTimeoutMs;
    let mayHaveApplied = false;
    this.callCounts.transactions += transactions.length;
    for (;;) {
      this.callCounts.commitCalls++;
      const body = { transactions };
      const result = await this.#json(
        "POST",
        "/v1/table/commit",
        body,
        outcomesSchema,
      );
      if (result.ok) return Ok(result.val.outcomes);
      if (result.val.code === codes.commitRefused) return result;
      if (result.val.code !== codes.platformDown) mayHaveApplied = true;
      if (performance.now() + retryPauseMs > deadline) {
        return mayHaveApplied
          ? fail(codes.commitUnknown, result.val.message)
          : fail(codes.platformDown, result.val.message);
      }
      await sleep(retryPauseMs);
    }
  }

  async #put(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
    const path = `/v1/objects/${encodeURIComponent(name)}`;
    const result = await this.#call("PUT", path, bytes);
    return result.andThen(({ status }) => expectSuccess(status, path));
  }

  async #get(name: string): Promise<Result<Uint8Array, Failure>> {
    const path = `/v1/objects/${encodeURIComponent(name)}`;
    const result = await this.#call("GET", path);
    if (result.ok && result.val.status === 404) {
      return fail(codes.notFound, `object ${name} does not exist`);
    }
    return result.andThen(({ status, bytes }) =>
      expectSuccess(status, path).map(() => bytes)
    );
  }

  /**
   * Makes a JSON call. Fails with `commitRefused` for status 400, with
   * `rowInvalid` if the response does not match the schema, with
   * `commitUnknown` if it is not JSON, or as `#call` does.
   */
  async #json<T extends v.GenericSchema>(
    method: "GET" | "POST",
    path: string,
    body: unknown,
    schema: T,
  ): Promise<Result<v.InferOutput<T>, Failure>> {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const result = await this.#call(method, path, text);
    if (result.err) return result;
    if (result.val.status === 400) {
      return fail(codes.commitRefused, `platform refused ${path}`);
    }
    try {
      const json = JSON.parse(Buffer.from(result.val.bytes).toString("utf8"));
      const parsed = v.safeParse(schema, json);
      if (parsed.success) return Ok(parsed.output);
      return fail(codes.rowInvalid, `malformed platform response to ${path}`);
    } catch (err) {
      return fail(codes.commitUnknown, describeError(err));
    }
  }

  /**
   * Makes one call. Fails with `platformDown` for {@link refusedStatuses}, with
   * `commitUnknown` for any other status of 500 or above, or as
   * `#handleCallError` says.
   */
  async #call(
    method: "GET" | "POST" | "PUT",
    path: string,
    body?: string | Uint8Array,
  ): Promise<Result<HttpResponse, Failure>> {
    const timeout = abortAfterResponsive(
      systemClock,
      this.options.callTimeoutMs,
    );
    const pool = this.#pool;
    try {
      const res = await pool.request({
        method,
        path,
        body,
        signal: timeout.signal,
        headers: {
          "content-type": "application/json",
          "platform-zone": this.options.zone,
        },
      });
      const bytes = new Uint8Array(await res.body.arrayBuffer());
      const status = res.statusCode;
      const message = `platform answered ${status}`;
      if (refusedStatuses.has(status)) {
        return fail(codes.platformDown, message);
      }
      if (status >= 500) return fail(codes.commitUnknown, message);
      return Ok({ status, bytes });
    } catch (err) {
      return this.#handleCallError(pool, err);
    } finally {
      timeout.end();
    }
  }

  /**
   * Replaces the connection pool after a failed call, as the open connections
   * may have stalled. Fails with `platformDown` if the request was not sent,
   * else with `commitUnknown`.
   */
  #handleCallError(pool: Pool, err: unknown): Result<HttpResponse, Failure> {
    if (pool === this.#pool) {
      this.#pool = this.#openPool();
      pool.close().catch(() => undefined);
    }
    const cause = (err as { code?: string }).code;
    const neverSent = cause === "ECONNREFUSED" ||
      cause === "UND_ERR_CONNECT_TIMEOUT";
    const code = neverSent ? codes.platformDown : codes.commitUnknown;
    return fail(code, describeError(err));
  }
}
