/**
 * Starts stand-ins of endpoints in a worker thread and checks what a client
 * reports about the orders that it sent to them.
 */
import assert from "node:assert/strict";
import process from "node:process";
import { Worker } from "node:worker_threads";
import type { OrderOutcome, TaskEndpoint } from "../../src/endpoint/index.ts";
import type {
  Behaviour,
  ReadOrder,
  StandInRequest,
} from "./stand_in_server.ts";

/**
 * Statuses of which the protocol says that the endpoint did nothing; 409 only
 * with a reason.
 */
export const nothingDoneStatuses: readonly number[] = [
  400,
  409,
  421,
  429,
  503,
];

/** A worker thread with any number of stand-ins. */
export class StandIns {
  readonly #resume = new Int32Array(new SharedArrayBuffer(4));
  /** The worker runs the file of the test, which calls `serveStandIns`. */
  readonly #worker = new Worker(process.argv[1], {
    workerData: this.#resume.buffer,
  });
  readonly #waiting = new Map<number, (reply: unknown) => void>();
  #lastId = 0;

  constructor() {
    this.#worker.on("message", ({ id, reply }) => {
      this.#waiting.get(id)?.(reply);
      this.#waiting.delete(id);
    });
  }

  /** Opens a stand-in at a port, by default at any; returns the port. */
  async open(behaviour: Behaviour, port = 0): Promise<number> {
    return await this.#ask({ kind: "open", port, behaviour }) as number;
  }

  async behave(port: number, behaviour: Behaviour): Promise<void> {
    await this.#ask({ kind: "behave", port, behaviour });
  }

  /** Resets all connections of a stand-in and listens at its port again. */
  async restart(port: number): Promise<void> {
    await this.#ask({ kind: "restart", port });
  }

  /** Resets all connections of a stand-in; its port then has no listener. */
  async stop(port: number): Promise<void> {
    await this.#ask({ kind: "stop", port });
  }

  /** The orders that a stand-in has read whole, but for holds. */
  async orders(port: number): Promise<readonly ReadOrder[]> {
    const orders = await this.#ask({ kind: "orders", port }) as ReadOrder[];
    return orders.filter((o) => o.path !== "/-/hold");
  }

  /** Stops the thread: all stand-ins accept and read nothing until `resume`. */
  async pause(): Promise<void> {
    // The thread handles requests in order, and answers this one before.
    const answered = this.#ask({ kind: "orders", port: 0 });
    this.#ask({ kind: "pause" });
    await answered;
  }

  resume(): void {
    Atomics.store(this.#resume, 0, 1);
    Atomics.notify(this.#resume, 0);
  }

  /** Ends the thread; the kernel resets what is open. */
  async close(): Promise<void> {
    await this.#worker.terminate();
  }

  #ask(request: StandInRequest): Promise<unknown> {
    const id = ++this.#lastId;
    this.#worker.postMessage({ id, request });
    return new Promise((resolve) => this.#waiting.set(id, resolve));
  }
}

/** Returns an incarnation of an endpoint at a loopback port. */
export function endpointAt(port: number, life = 1): TaskEndpoint {
  return {
    id: "e",
    address: `127.0.0.1:${port}`,
    pool: "p",
    zone: "",
    life,
    capacity: { cpuMillis: 0, memoryMb: 0, gpus: 0 },
    labels: [],
    draining: false,
    host: "",
  };
}

/** Returns the start order of a task. */
export function startOrder(task: string) {
  return {
    term: 1,
    task,
    run: 1,
    payload: "",
    leaseUntil: 1,
    checkpoint: "",
    ticket: "",
  };
}

/**
 * Fails if an order was read twice, or if the client reports one as rejected
 * that may have been carried out.
 *
 * @param isRefusal Whether the stand-in's answer means that nothing was done.
 */
export function assertTruthful(
  outcomes: ReadonlyMap<string, OrderOutcome>,
  orders: readonly ReadOrder[],
  isRefusal: boolean,
): void {
  const tasks = orders.map((o) => o.task);
  const read = new Set(tasks);
  assert.equal(read.size, tasks.length, "an order was read twice");
  for (const [task, outcome] of outcomes) {
    if (outcome.kind === "done") assert.ok(read.has(task), `${task}: done`);
    if (outcome.kind !== "rejected" || isRefusal) continue;
    const message = `${task} was read, reported as ${JSON.stringify(outcome)}`;
    assert.ok(!read.has(task), message);
  }
}
