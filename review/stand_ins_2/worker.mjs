/**
 * Stand-in of a worker (PROTOCOL.md, "Running tasks"). One object is one life
 * of a machine's worker.
 */
import { performance } from "node:perf_hooks";
import { delay, HttpServer } from "./http_server.mjs";

/** Time that a long-running task takes until it is at work, in ms. */
const startupMs = 500;
const maxListedEnds = 500;
const maxWaitMs = 2_000;
const leaseCheckMs = 20;

/** Splits a task's name into its job and its step. */
export function parseTask(task) {
  const [job, occurrence, step, index] = task.split(".");
  return {
    job,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}

export class WorkerStandIn {
  /** The runs that are present, by task. */
  runs = new Map();
  #ended = [];
  #lastSeq = 0;
  #fence = 0;
  #leaseUntil = 0;
  /** Highest run that has been stopped or has ended, by task. */
  #highestOver = new Map();
  #startedAt = performance.now();
  #born = Date.now();
  #wake = new Set();
  #isUp = true;
  /**
   * Called with each order; returns undefined, or for an order that the network
   * delays the time after which it arrives, in ms. It then gets no answer.
   */
  delayOrder = () => undefined;

  /**
   * `identity` has the id, machine, pool, zone, labels and capacity; `bounds`
   * the times of the deployment; `jobs` finds a submitted job by its id; and
   * `record` notes what happens.
   */
  constructor(identity, bounds, jobs, record) {
    this.identity = identity;
    this.bounds = bounds;
    this.jobs = jobs;
    this.record = record;
    this.server = new HttpServer((req) => this.#handle(req));
    this.#watchLease();
  }

  /** What the worker says of itself in the store. */
  registration(address, state = "ready") {
    const { pool, zone, machine, labels, capacity } = this.identity;
    return {
      backend: pool,
      addr: address,
      zone,
      version: "v1",
      slots: 8,
      state,
      coldLeftMs: 0,
      seq: 1,
      born: this.#born,
      machine,
      labels,
      capacity,
    };
  }

  /** Ends everything at once, as when the machine goes down. */
  terminate() {
    this.#isUp = false;
    for (const run of [...this.runs.values()]) {
      clearTimeout(run.timer);
      this.#note("gone", run);
    }
    this.runs.clear();
    this.server.close();
  }

  /** Capacity that is in use, also by what is being stopped. */
  get used() {
    const used = { cpu: 0, memMb: 0, gpu: 0 };
    for (const { phase } of this.runs.values()) {
      if (!phase.fills) used.cpu += phase.cpu ?? 0;
      used.memMb += phase.memMb ?? 0;
      used.gpu += phase.gpu ?? 0;
    }
    return used;
  }

  get #clockMs() {
    return Math.floor(performance.now() - this.#startedAt);
  }

  async #handle({ method, path, headers, body }) {
    if (path === "/health") return { status: 200 };
    if (method !== "POST") return { status: 404 };
    const delayMs = this.delayOrder(path, body);
    if (delayMs !== undefined) {
      this.#deliverLater(path, headers, body, delayMs);
      return undefined;
    }
    const intended = headers["expect-instance"];
    if (intended !== undefined && intended !== this.identity.id) {
      return { status: 421 };
    }
    const calls = {
      "/-/run-start": () => this.#start(body),
      "/-/run-stop": () => this.#stop(body),
      "/-/hold": () => this.#hold(body),
      "/-/pace": () => this.#pace(body),
    };
    const call = calls[path];
    return call === undefined ? { status: 404 } : await call();
  }

  /** Sends an order to whoever is at this worker's address after a delay. */
  async #deliverLater(path, headers, body, delayMs) {
    const { task, run } = body;
    this.#note("order-delayed", { task, run }, path);
    const { address } = this.server;
    await delay(delayMs);
    const response = await fetch(`http://${address}${path}`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "expect-instance": headers["expect-instance"],
        connection: "close",
      },
      body: JSON.stringify(body),
    }).catch((err) => ({ status: String(err) }));
    this.#note("order-arrived", { task, run }, response.status);
  }

  /** Whether a call carries a fence that is too low; keeps the highest. */
  #isFenced({ fence = 0 }) {
    if (fence < this.#fence) return true;
    this.#fence = fence;
    return false;
  }

  #answer(status, body = {}) {
    const born = this.#born;
    return { status, body: { clockMs: this.#clockMs, born, ...body } };
  }

  #reject(reason) {
    return this.#answer(409, { reason });
  }

  #extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const most = this.#clockMs + this.bounds.maxHoldMs;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadlineMs, most));
  }

  #start(body) {
    const { task, run, deadlineMs, lastCheckpoint = "" } = body;
    if (this.#isFenced(body)) return this.#reject("fence");
    if (deadlineMs <= this.#clockMs) return this.#reject("late");
    const present = this.runs.get(task);
    if (present?.run === run) {
      this.#extendLease(deadlineMs);
      return this.#answer(200);
    }
    const { job, step } = parseTask(task);
    const phase = this.jobs.get(job)?.phases[step];
    if (phase === undefined) return this.#answer(400);
    this.#extendLease(deadlineMs);
    const highest = Math.max(
      this.#highestOver.get(task) ?? 0,
      present?.run ?? 0,
    );
    if (run <= highest) return this.#reject("old");
    const { cpu, memMb, gpu } = this.used;
    const { capacity } = this.identity;
    const hasRoom = present === undefined &&
      (phase.fills || cpu + (phase.cpu ?? 0) <= capacity.cpu) &&
      memMb + (phase.memMb ?? 0) <= capacity.memMb &&
      gpu + (phase.gpu ?? 0) <= capacity.gpu;
    if (!hasRoom) return this.#reject("room");
    const started = { task, run, phase, saved: lastCheckpoint };
    started.startedAt = performance.now();
    started.runMs = this.jobs.get(job).runMs;
    this.runs.set(task, started);
    this.#note("start", started);
    if (!phase.longRunning) {
      started.timer = setTimeout(
        () => this.#end(started, "done"),
        started.runMs,
      );
    }
    return this.#answer(200);
  }

  #stop(body) {
    const { task, run } = body;
    if (this.#isFenced(body)) return this.#reject("fence");
    const highest = this.#highestOver.get(task) ?? 0;
    this.#highestOver.set(task, Math.max(highest, run));
    const present = this.runs.get(task);
    if (present?.run === run && !present.isStopping) {
      present.isStopping = true;
      this.#note("stop", present);
      clearTimeout(present.timer);
      present.timer = setTimeout(
        () => this.#end(present, "stopped"),
        this.bounds.stopTimeoutMs / 2,
      );
    }
    return this.#answer(200);
  }

  #pace(body) {
    return this.#isFenced(body) ? this.#reject("fence") : this.#answer(200);
  }

  async #hold(body) {
    if (this.#isFenced(body)) return this.#reject("fence");
    this.#extendLease(body.deadlineMs);
    const { ackSeq = 0, waitMs = 0 } = body;
    for (const end of this.#ended) {
      if (end[0] <= ackSeq) {
        this.#note("end-noted", { task: end[1], run: end[2] });
      }
    }
    this.#ended = this.#ended.filter(([seq]) => seq > ackSeq);
    if (this.#ended.length === 0 && waitMs > 0) await this.#nextEnd(waitMs);
    const running = [...this.runs.values()].map((run) => [
      run.task,
      run.run,
      run.saved,
      percentOf(run),
      run.phase.cpu ?? 0,
    ]);
    return this.#answer(200, {
      running,
      finished: this.#ended.slice(0, maxListedEnds),
    });
  }

  #nextEnd(waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#wake.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.min(waitMs, maxWaitMs));
      this.#wake.add(wake);
    });
  }

  #end(run, how) {
    if (this.runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    this.runs.delete(run.task);
    const highest = this.#highestOver.get(run.task) ?? 0;
    this.#highestOver.set(run.task, Math.max(highest, run.run));
    this.#lastSeq++;
    this.#ended.push([this.#lastSeq, run.task, run.run, how, run.saved]);
    this.#note("end", run, how);
    for (const wake of [...this.#wake]) wake();
  }

  #note(event, { task, run }, how) {
    const { id, pool } = this.identity;
    this.record({ event, task, run, how, worker: id, pool });
  }

  async #watchLease() {
    while (this.#isUp) {
      await delay(leaseCheckMs);
      if (this.#clockMs <= this.#leaseUntil) continue;
      for (const run of [...this.runs.values()]) this.#end(run, "lapsed");
    }
  }
}

/** Progress of a run in whole percent; 100 for one that lasts and works. */
function percentOf({ phase, startedAt, runMs }) {
  const elapsed = performance.now() - startedAt;
  const share = phase.longRunning ? elapsed / startupMs : elapsed / runMs;
  return Math.min(phase.longRunning ? 100 : 99, Math.floor(share * 100));
}
