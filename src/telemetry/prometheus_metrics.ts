/** Prometheus metrics of a batch entry, served over HTTP. */
import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Result } from "ts-results";
import {
  type ClientLimit,
  createGuardedServer,
  defaultGuard,
  sendResponse,
} from "../connection_budget/index.ts";
import type { DecisionFields, DecisionLog } from "./decision_log.ts";
import type { Store, StoreFailure } from "../store/index.ts";

/** Upper bounds of the latency buckets, in seconds. */
const latencyBuckets = [
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
  10,
];

/**
 * Functions that return the current value of a gauge. Each is exported under
 * its key with the prefix `briartide_`.
 */
export interface PrometheusGauges {
  /** Number of shards that the entry owns. */
  readonly shards: () => number;
  /** Whether the entry is ready for callers: 1 or 0. */
  readonly ready: () => number;
  /** Number of open connections of clients. */
  readonly client_connections: () => number;
  /** Memory held for clients, in bytes. */
  readonly client_held_bytes: () => number;
}

/** Counters, histograms and gauges of an entry. */
export class PrometheusMetrics {
  readonly #registry = new Registry();
  #pendingText: Promise<string> | undefined;
  readonly #decisionCount = new Counter({
    name: "briartide_decisions_total",
    help: "Decisions by event and outcome.",
    labelNames: ["event", "outcome"],
    registers: [this.#registry],
  });
  readonly #responseTimes = new Histogram({
    name: "briartide_caller_answer_seconds",
    help: "Time to a caller's answer, by method and status.",
    labelNames: ["method", "status"],
    buckets: latencyBuckets,
    registers: [this.#registry],
  });
  readonly #storeCallTimes = new Histogram({
    name: "briartide_store_call_seconds",
    help: "Time of a call to the store, by call and outcome.",
    labelNames: ["call", "outcome"],
    buckets: latencyBuckets,
    registers: [this.#registry],
  });
  readonly #taskWaitTimes = new Histogram({
    name: "briartide_task_wait_seconds",
    help: "Time from a job's acceptance to the placing of a task.",
    buckets: latencyBuckets,
    registers: [this.#registry],
  });
  readonly #clientLimits = new Counter({
    name: "briartide_client_limits_total",
    help: "Times that a client met a limit, by limit.",
    labelNames: ["limit"],
    registers: [this.#registry],
  });

  constructor(gauges: PrometheusGauges) {
    for (const [name, read] of Object.entries(gauges)) {
      new Gauge({
        name: `briartide_${name}`,
        help: `Present value of ${name}.`,
        registers: [this.#registry],
        collect() {
          this.set(read());
        },
      });
    }
  }

  /**
   * Counts a decision. Also records the response time of a `caller-answered`
   * event and the wait of a `task-placed` event.
   */
  recordDecision(event: string, fields: DecisionFields): void {
    const { end, outcome, status } = fields;
    const label = String(end ?? outcome ?? status ?? "");
    this.#decisionCount.inc({ event, outcome: label });
    if (event === "caller-answered" && typeof fields.ms === "number") {
      const labels = { method: String(fields.method), status: label };
      this.#responseTimes.observe(labels, fields.ms / 1_000);
    }
    if (event === "task-placed" && typeof fields.ageMs === "number") {
      this.#taskWaitTimes.observe(fields.ageMs / 1_000);
    }
  }

  /** Records the duration, in ms, and the outcome of a call to the store. */
  recordStoreCall(call: string, outcome: string, ms: number): void {
    this.#storeCallTimes.observe({ call, outcome }, ms / 1_000);
  }

  /** Counts that a client met a limit. */
  recordClientLimit(limit: ClientLimit): void {
    this.#clientLimits.inc({ limit });
  }

  /** Serves the metrics as text. Rejects if the port can't be opened. */
  serve(host: string, port: number, guard = defaultGuard()): Promise<Server> {
    const server = createGuardedServer(
      guard,
      (req, res) => this.#sendMetrics(req, res),
    );
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, () => resolve(server));
    });
  }

  /** Writes the metrics as text, once for all requests that wait for it. */
  async #writeText(): Promise<string> {
    this.#pendingText ??= this.#registry.metrics();
    try {
      return await this.#pendingText;
    } finally {
      this.#pendingText = undefined;
    }
  }

  async #sendMetrics(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await this.#writeText();
    const headers = {
      "content-type": this.#registry.contentType,
      "content-length": Buffer.byteLength(body),
    };
    sendResponse(req, res, { status: 200, headers, body });
  }
}

/** A decision log that also counts decisions in the metrics. */
export class CountingDecisionLog implements DecisionLog {
  constructor(
    private readonly log: DecisionLog,
    private readonly metrics: PrometheusMetrics,
  ) {}

  decision(event: string, fields: DecisionFields): void {
    this.metrics.recordDecision(event, fields);
    this.log.decision(event, fields);
  }
}

/** Wraps a store to record the time and the outcome of each call. */
export function meterStore(
  store: Store,
  metrics: PrometheusMetrics,
  now: () => number,
): Store {
  const timed = async <T>(
    call: string,
    pending: Promise<Result<T, StoreFailure>>,
  ): Promise<Result<T, StoreFailure>> => {
    const startedAt = now();
    const result = await pending;
    const outcome = result.ok ? "ok" : result.val.kind;
    metrics.recordStoreCall(call, outcome, now() - startedAt);
    return result;
  };
  return {
    commit: (tx) => timed("commit", store.commit(tx)),
    range: (query) => timed("range", store.range(query)),
    feed: (table, after, waitMs) =>
      timed("feed", store.feed(table, after, waitMs)),
  };
}
