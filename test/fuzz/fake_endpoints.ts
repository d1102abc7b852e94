/** Fake endpoints of the simulated hosts, which record each run. */
import { Ok, type Result } from "ts-results";
import type {
  EndpointClient,
  EndpointHealth,
  RunQuery,
  RunState,
} from "../../src/endpoint/index.ts";
import { codes, fail, type Failure } from "../../src/errors/index.ts";
import type { Host } from "../../src/hosts/index.ts";
import type { EndpointRequest, Outcome } from "../../src/pipeline/index.ts";
import type { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";

const networkDelayMs = 1;
const rebootMs = 300;

/** One run on a host. */
export interface FakeRun {
  readonly host: string;
  readonly attempt: string;
  readonly class: string;
  readonly pool: string;
  readonly key: string;
  /** Body of the request: its id, or its key if it has one. */
  readonly body: string;
  /** Virtual time of the start in ms. */
  readonly startedAt: number;
  /** Virtual time of the end in ms; `Infinity` while the run goes on. */
  endedAt: number;
}

/** The endpoints of all hosts. */
export class FakeEndpoints {
  readonly runs: FakeRun[] = [];
  /** Hosts whose answers are lost. */
  readonly losingAnswers = new Set<string>();
  /** Hosts on which each run fails immediately. */
  readonly blackHoles = new Set<string>();
  /** Hosts that are unhealthy after a reboot. */
  readonly failingReboot = new Set<string>();
  /** Hosts whose health checks fail. */
  readonly unhealthy = new Set<string>();
  #boots = new Map<string, number>();
  #down = new Set<string>();

  constructor(private readonly clock: VirtualClock) {}

  /** Reboots a host: its runs end without an answer. */
  reboot(host: string): void {
    this.#down.add(host);
    for (const run of this.#runningOn(host)) run.endedAt = this.clock.now();
    this.clock.after(rebootMs, () => {
      this.#down.delete(host);
      this.#boots.set(host, (this.#boots.get(host) ?? 0) + 1);
      if (this.failingReboot.has(host)) this.unhealthy.add(host);
    });
  }

  /** Returns a client for a process; answers are deferred while it is paused. */
  clientFor(process: ProcessClock): EndpointClient {
    return {
      send: (host, req, signal) =>
        process.deliver(this.#send(host, req, signal)),
      queryRun: (host, query) => process.deliver(this.#queryRun(host, query)),
      health: (host) => process.deliver(this.#health(host)),
    };
  }

  #runningOn(host: string): FakeRun[] {
    return this.runs.filter((r) => r.host === host && r.endedAt === Infinity);
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(ms, resolve);
    });
  }

  async #send(
    host: Host,
    req: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Outcome> {
    await this.#wait(networkDelayMs);
    if (this.#down.has(host.name)) return failedOutcome(codes.connectFailed);
    const run: FakeRun = {
      host: host.name,
      attempt: req.attempt,
      class: req.headers["briartide-class"],
      pool: req.headers["briartide-pool"],
      key: req.headers["idempotency-key"] ?? "",
      body: new TextDecoder().decode(req.body),
      startedAt: this.clock.now(),
      endedAt: Infinity,
    };
    this.runs.push(run);
    const fails = this.blackHoles.has(host.name);
    const ms = fails ? 0 : Number(req.path.split("ms=")[1] ?? 0);
    this.clock.after(ms, () => {
      run.endedAt = Math.min(run.endedAt, this.clock.now());
    });
    const aborted = new Promise<"aborted">((resolve) => {
      signal.addEventListener("abort", () => resolve("aborted"));
    });
    const end = await Promise.race([
      this.#wait(ms + networkDelayMs).then(() => "ended" as const),
      this.#wait(req.runMs).then(() => "late" as const),
      aborted,
    ]);
    if (end === "late") return failedOutcome(codes.runTimeout);
    const lost = this.losingAnswers.has(host.name) ||
      this.#down.has(host.name) ||
      run.endedAt < run.startedAt + ms;
    if (end === "aborted" || lost) return failedOutcome(codes.connectionLost);
    const body = new TextEncoder().encode(run.body);
    return { kind: "answer", status: fails ? 500 : 200, headers: {}, body };
  }

  async #queryRun(
    host: Host,
    query: RunQuery,
  ): Promise<Result<RunState, Failure>> {
    await this.#wait(networkDelayMs);
    if (this.#down.has(host.name)) return fail(codes.connectionLost, "down");
    const run = this.runs.findLast((r) =>
      r.host === host.name &&
      ("attempt" in query
        ? r.attempt === query.attempt
        : r.class === query.class && r.key === query.key)
    );
    if (run === undefined) return Ok({ state: "unknown" });
    if (run.endedAt === Infinity) return Ok({ state: "running" });
    return Ok({ state: "done", status: 200, body: btoa(run.body) });
  }

  async #health(host: Host): Promise<Result<EndpointHealth, Failure>> {
    await this.#wait(networkDelayMs);
    if (this.#down.has(host.name)) return fail(codes.connectionLost, "down");
    return Ok({
      ok: !this.unhealthy.has(host.name),
      boot: String(this.#boots.get(host.name) ?? 0),
      running: this.#runningOn(host.name).length,
    });
  }
}

function failedOutcome(code: Failure["code"]): Outcome {
  return { kind: "failed", failure: { code, message: code.meaning } };
}
