/** Callers that send marked requests and record each end. */
import { Pool } from "undici";

/** The end of one request, as its caller saw it. */
export interface CallerEnd {
  readonly id: string;
  readonly class: string;
  readonly entry: string;
  /** Result code, or 0 when the connection broke. */
  readonly code: number;
  readonly run: string;
  readonly ms: number;
  /** Whether the answer carried this request's mark. */
  readonly own: boolean;
  readonly jobId?: string;
  readonly price?: string;
}

/** A request to send. */
export interface CallerWish {
  readonly class: string;
  /** Path and query, which steer the endpoint stand-in. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Index of the entry; the next one in turn by default. */
  readonly entry?: number;
  /** Mark of the request; a new one by default. */
  readonly id?: string;
  readonly signal?: AbortSignal;
}

const callerTimeoutMs = 60_000;

/** Sends requests to the entries in turn, as a balancer would. */
export class Callers {
  readonly ends: CallerEnd[] = [];
  #pools: Pool[];
  #next = 0;
  #sent = 0;
  #open = new Set<Promise<CallerEnd>>();

  constructor(private readonly addresses: readonly string[]) {
    this.#pools = addresses.map((a) => this.#connect(a));
  }

  /** Requests that have been sent. */
  get sent(): number {
    return this.#sent;
  }

  /** Leaves an entry out, as a balancer does after failed checks. */
  remove(index: number): void {
    this.#removed.add(index);
  }

  /** Uses an entry again. */
  restore(index: number): void {
    this.#removed.delete(index);
  }

  readonly #removed = new Set<number>();

  /** Sends one request and records its end. */
  send(wish: CallerWish): Promise<CallerEnd> {
    const end = this.#send(wish).then((done) => {
      this.ends.push(done);
      this.#open.delete(end);
      return done;
    });
    this.#open.add(end);
    return end;
  }

  /** Sends at a steady rate for a time; resolves when all have ended. */
  async stream(
    wish: CallerWish,
    perSecond: number,
    ms: number,
  ): Promise<void> {
    const startedAt = performance.now();
    const count = Math.round(perSecond * ms / 1000);
    const ends: Promise<CallerEnd>[] = [];
    for (let i = 0; i < count; i++) {
      const due = startedAt + i * 1000 / perSecond;
      const wait = due - performance.now();
      if (wait > 0) await new Promise((r) => setTimeout(r, wait));
      ends.push(this.send(wish));
    }
    await Promise.all(ends);
  }

  /** Waits for every open request. */
  async settled(): Promise<void> {
    await Promise.all(this.#open);
  }

  /** Reads a path of the caller port as JSON with its result code. */
  async get(entry: number, path: string): Promise<CallerReply> {
    const res = await this.#pools[entry].request({ method: "GET", path });
    const text = await res.body.text();
    return { code: Number(res.headers["briartide-code"] ?? 0), text };
  }

  async close(): Promise<void> {
    await Promise.all(this.#pools.map((p) => p.destroy()));
  }

  #connect(address: string): Pool {
    return new Pool(`http://${address}`, {
      connections: 256,
      headersTimeout: callerTimeoutMs,
    });
  }

  #pick(): number {
    do this.#next = (this.#next + 1) % this.addresses.length; while (
      this.#removed.has(this.#next)
    );
    return this.#next;
  }

  async #send(wish: CallerWish): Promise<CallerEnd> {
    const entry = wish.entry ?? this.#pick();
    const id = wish.id ?? `mark-${++this.#sent}-`;
    const startedAt = performance.now();
    const end = {
      id,
      class: wish.class,
      entry: `entry-${entry + 1}`,
    };
    try {
      const res = await this.#pools[entry].request({
        method: "POST",
        path: `/run/${wish.class}${wish.path}`,
        headers: { "content-type": "text/plain", ...wish.headers },
        body: id,
        signal: wish.signal,
      });
      const text = await res.body.text();
      const reply = parse(text);
      return {
        ...end,
        code: Number(res.headers["briartide-code"] ?? 0),
        run: String(res.headers["briartide-run"] ?? "unknown"),
        ms: performance.now() - startedAt,
        own: reply.received === id,
        jobId: reply.id,
        price: reply.price,
      };
    } catch {
      const ms = performance.now() - startedAt;
      return { ...end, code: 0, run: "unknown", ms, own: false };
    }
  }
}

/** A reply with its result code. */
export interface CallerReply {
  readonly code: number;
  readonly text: string;
}

interface ReplyBody {
  readonly received?: string;
  readonly id?: string;
  readonly price?: string;
}

function parse(text: string): ReplyBody {
  try {
    return JSON.parse(text) as ReplyBody;
  } catch {
    return {};
  }
}
