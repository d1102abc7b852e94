/** Test callers that send identifiable requests and record every result. */
import { Pool } from "undici";

/** The result of one request as its caller saw it. */
export interface RequestResult {
  readonly id: string;
  readonly class: string;
  readonly entry: string;
  /** Result code, or 0 if no response arrived. */
  readonly code: number;
  /** Whether the request ran, as the `briartide-run` header states it. */
  readonly run: string;
  readonly ms: number;
  /** Whether the answer contains this request's id. */
  readonly isOwnAnswer: boolean;
  readonly jobId?: string;
  readonly price?: string;
}

/** A request to send. */
export interface RequestSpec {
  readonly class: string;
  /** Path and query, which control the behavior of the fake endpoint. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Index of the entry; by default the next in round-robin order. */
  readonly entry?: number;
  /** Id of the request, which is sent as its body; a new one by default. */
  readonly id?: string;
  readonly signal?: AbortSignal;
}

const responseTimeoutMs = 60_000;

/** Sends requests to the entries in turn, as a load balancer does. */
export class Callers {
  readonly results: RequestResult[] = [];
  #pools: Pool[];
  #lastIndex = 0;
  #sentCount = 0;
  #pending = new Set<Promise<RequestResult>>();

  constructor(private readonly addresses: readonly string[]) {
    this.#pools = addresses.map((a) => this.#connect(a));
  }

  /** Number of requests that were sent with a generated id. */
  get sentCount(): number {
    return this.#sentCount;
  }

  /** Excludes an entry, as a load balancer does after failed checks. */
  remove(index: number): void {
    this.#removed.add(index);
  }

  /** Includes an excluded entry again. */
  restore(index: number): void {
    this.#removed.delete(index);
  }

  readonly #removed = new Set<number>();

  /** Sends one request and records its result. */
  send(request: RequestSpec): Promise<RequestResult> {
    const pending = this.#exchange(request).then((result) => {
      this.results.push(result);
      this.#pending.delete(pending);
      return result;
    });
    this.#pending.add(pending);
    return pending;
  }

  /** Sends at a fixed rate for `ms`; resolves when all requests have ended. */
  async sendAtRate(
    request: RequestSpec,
    perSecond: number,
    ms: number,
  ): Promise<void> {
    const startedAt = performance.now();
    const count = Math.round(perSecond * ms / 1000);
    const pending: Promise<RequestResult>[] = [];
    for (let i = 0; i < count; i++) {
      const dueAt = startedAt + i * 1000 / perSecond;
      const waitMs = dueAt - performance.now();
      if (waitMs > 0) await new Promise((r) => setTimeout(r, waitMs));
      pending.push(this.send(request));
    }
    await Promise.all(pending);
  }

  /** Waits for all pending requests. */
  async waitForPending(): Promise<void> {
    await Promise.all(this.#pending);
  }

  /** Sends a GET request to an entry's caller port. */
  async get(entry: number, path: string): Promise<CallerReply> {
    const res = await this.#pools[entry].request({ method: "GET", path });
    const text = await res.body.text();
    return { code: Number(res.headers["briartide-code"] ?? 0), text };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all(this.#pools.map((p) => p.destroy()));
  }

  #connect(address: string): Pool {
    return new Pool(`http://${address}`, {
      connections: 256,
      headersTimeout: responseTimeoutMs,
    });
  }

  /** Returns the index of the next entry that is not excluded. */
  #nextEntry(): number {
    do this.#lastIndex = (this.#lastIndex + 1) % this.addresses.length; while (
      this.#removed.has(this.#lastIndex)
    );
    return this.#lastIndex;
  }

  async #exchange(request: RequestSpec): Promise<RequestResult> {
    const entry = request.entry ?? this.#nextEntry();
    const id = request.id ?? `mark-${++this.#sentCount}-`;
    const startedAt = performance.now();
    const common = {
      id,
      class: request.class,
      entry: `entry-${entry + 1}`,
    };
    try {
      const res = await this.#pools[entry].request({
        method: "POST",
        path: `/run/${request.class}${request.path}`,
        headers: { "content-type": "text/plain", ...request.headers },
        body: id,
        signal: request.signal,
      });
      const text = await res.body.text();
      const reply = parseReplyBody(text);
      return {
        ...common,
        code: Number(res.headers["briartide-code"] ?? 0),
        run: String(res.headers["briartide-run"] ?? "unknown"),
        ms: performance.now() - startedAt,
        isOwnAnswer: reply.received === id,
        jobId: reply.id,
        price: reply.price,
      };
    } catch {
      const ms = performance.now() - startedAt;
      return { ...common, code: 0, run: "unknown", ms, isOwnAnswer: false };
    }
  }
}

/** Body of a reply and its result code. */
export interface CallerReply {
  readonly code: number;
  readonly text: string;
}

/** Fields of an answer or of an accepted job that the callers read. */
interface ReplyBody {
  readonly received?: string;
  readonly id?: string;
  readonly price?: string;
}

/** Parses a reply body; returns an empty object if it is not JSON. */
function parseReplyBody(text: string): ReplyBody {
  try {
    return JSON.parse(text) as ReplyBody;
  } catch {
    return {};
  }
}
