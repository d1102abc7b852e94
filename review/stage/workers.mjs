/**
 * Stand-ins for workers, after "Running tasks" of the protocol: leases, fences,
 * ends that are listed until they are acknowledged, 500 at a time, checkpoints
 * and gangs. A task takes as long as the case says.
 */
import { serve } from "./http.mjs";
import { now } from "./record.mjs";

const maxHoldMs = 10_000;
const stopMs = 100;
const gangTimeoutMs = 3_000;
const maxListedEnds = 500;
const heartbeatMs = 1_500;
const startupMs = 500;
/** Time between two checkpoints, as on the smaller site with 0.5 s. */
const checkpointMs = 500;

/** Runs of all workers, for the judge of a case. */
export class Runs {
  /** Every run that has begun. */
  begun = [];
  #gangs = new Map();

  constructor(record, jobs) {
    this.record = record;
    /** What the consumers submitted, by job id. */
    this.jobs = jobs;
  }

  /** The phase that a task belongs to; undefined if nobody submitted it. */
  phaseOf(task) {
    const [id, , step] = task.split(".");
    return this.jobs.get(id)?.phases[Number(step)];
  }

  /** The members of a gang's run that are present. */
  gang(task, run) {
    const key = `${task.slice(0, task.lastIndexOf("."))}#${run}`;
    if (!this.#gangs.has(key)) this.#gangs.set(key, new Set());
    return this.#gangs.get(key);
  }
}

/** One life of a machine as a worker. */
export class Worker {
  #running = new Map();
  #over = new Map();
  #ends = [];
  #lastEnd = 0;
  #fence = 0;
  #leaseUntil = 0;
  #lapsedAt = -Infinity;
  #waiting = new Set();
  #timers = new Set();
  #isUp = true;
  #seq = 0;
  #server;

  constructor({ id, machine, backend, zone, labels, capacity }, stage) {
    Object.assign(this, { id, machine, backend, zone, labels, capacity });
    this.stage = stage;
    this.born = Date.now();
    this.bootedAt = now();
    this.state = "ready";
  }

  get clockMs() {
    return Math.floor(now() - this.bootedAt);
  }

  get isUp() {
    return this.#isUp;
  }

  /** The names of the tasks that run here. */
  get tasks() {
    return [...this.#running.values()].map((run) => run.task);
  }

  /** Number of further tasks of a phase for which there is room. */
  placesFor({ cpu = 0, memMb = 0 }) {
    const free = (resource) => this.capacity[resource] - this.used(resource);
    return Math.floor(Math.min(
      cpu === 0 ? Infinity : free("cpu") / cpu,
      memMb === 0 ? Infinity : free("memMb") / memMb,
    ));
  }

  async start(ip) {
    const { server, address } = await serve(
      ip,
      (method, url, body, headers) => this.#handle(method, url, body, headers),
    );
    this.#server = server;
    this.address = address;
    this.#register();
    const timer = setInterval(() => this.#register(), heartbeatMs);
    this.#timers.add(timer);
  }

  /** Ends the worker at once; all that it runs ends and is not listed. */
  crash(why) {
    if (!this.#isUp) return;
    this.#isUp = false;
    this.stage.record.add("worker-gone", { worker: this.id, why });
    for (const run of [...this.#running.values()]) this.#leave(run, "lost");
    for (const timer of this.#timers) clearInterval(timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #register() {
    if (this.stage.store.state !== "up" || !this.#isUp) return;
    this.stage.store.write("servers", "", this.id, {
      backend: this.backend,
      addr: this.address,
      zone: this.zone,
      version: "v1",
      slots: 8,
      state: this.state,
      coldLeftMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      machine: this.machine,
      born: this.born,
      clockMs: this.clockMs,
      seq: ++this.#seq,
    });
  }

  #handle(method, url, body, headers) {
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) return { status: 421 };
    if (method === "GET") return { status: 200 };
    this.#lapse();
    const fence = body.fence ?? 0;
    if (fence < this.#fence) return this.#refused("fence");
    this.#fence = fence;
    switch (url.pathname) {
      case "/-/run-start":
        return this.#startRun(body);
      case "/-/run-stop":
        return this.#stopRun(body);
      case "/-/hold":
        return this.#hold(body);
      case "/-/pace":
        return this.#ok();
      default:
        return { status: 404 };
    }
  }

  #ok(fields = {}) {
    return {
      status: 200,
      body: { clockMs: this.clockMs, born: this.born, ...fields },
    };
  }

  #refused(reason) {
    return { status: 409, body: { clockMs: this.clockMs, reason } };
  }

  #extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const until = Math.min(deadlineMs, this.clockMs + maxHoldMs);
    this.#leaseUntil = Math.max(this.#leaseUntil, until);
  }

  /** Kills everything once the lease is over. */
  #lapse() {
    if (this.clockMs < this.#leaseUntil || this.#leaseUntil === 0) return;
    this.#lapsedAt = now();
    for (const run of [...this.#running.values()]) this.#end(run, "lapsed");
  }

  /** What the tasks here were given; `cpu` without those that fill. */
  used(resource) {
    let used = 0;
    for (const run of this.#running.values()) {
      const phase = this.stage.runs.phaseOf(run.task);
      if (resource === "cpu" && phase.fills) continue;
      used += phase[resource] ?? 0;
    }
    return used;
  }

  #startRun({ task, run, spec, deadlineMs, lastCheckpoint = "", fence }) {
    const { record, runs } = this.stage;
    this.#extendLease(deadlineMs);
    const key = `${task}#${run}`;
    if (this.#running.has(key)) return this.#ok();
    const refuse = (reason) => {
      record.add("start-refused", { worker: this.id, task, run, reason });
      return this.#refused(reason);
    };
    if (run <= (this.#over.get(task) ?? 0)) return refuse("old");
    if (deadlineMs <= this.clockMs) return refuse("late");
    const phase = runs.phaseOf(task);
    if (phase === undefined) return { status: 400 };
    const fits = ["cpu", "memMb", "gpu"].every((resource) =>
      (resource === "cpu" && phase.fills) ||
      this.used(resource) + (phase[resource] ?? 0) <= this.capacity[resource]
    );
    if (!fits) return refuse("room");
    const begun = {
      worker: this,
      task,
      run,
      spec,
      phase,
      fence,
      checkpoint: lastCheckpoint,
      saved: lastCheckpoint,
      beganAt: now(),
      workSince: undefined,
      end: undefined,
    };
    record.add("start", {
      worker: this.id,
      task,
      run,
      fence,
      ...(lastCheckpoint !== "" && { lastCheckpoint }),
    });
    runs.begun.push(begun);
    this.#running.set(key, begun);
    this.#watchLease();
    if (phase.gang) this.#joinGang(begun);
    else this.#work(begun);
    return this.#ok();
  }

  /** Lets a run work; it ends `done` unless it lasts. */
  #work(begun) {
    if (begun.end !== undefined) return;
    begun.workSince = now();
    if (begun.phase.longRunning) return;
    const saved = parseInt(begun.checkpoint.slice(0, 8) || "0", 16);
    const ms = Math.max(1, this.stage.workMs(begun) - saved);
    setTimeout(() => this.#end(begun, "done"), ms);
  }

  /**
   * A gang works from the moment when all members of the run are present. All
   * have to carry the same checkpoint; members with another one are not of the
   * same run, so each waits for the others until its time is over.
   */
  #joinGang(begun) {
    const gang = this.stage.runs.gang(begun.task, begun.run);
    gang.add(begun);
    const present = [...gang].filter((each) => each.end === undefined);
    const checkpoints = new Set(present.map((each) => each.checkpoint));
    if (present.length === begun.phase.count && checkpoints.size === 1) {
      for (const each of present) each.worker.#work(each);
      return;
    }
    setTimeout(() => {
      if (begun.workSince === undefined) this.#end(begun, "alone");
    }, gangTimeoutMs);
  }

  #savedNow(begun) {
    if (!begun.phase.checkpoints || begun.workSince === undefined) {
      return begun.saved;
    }
    const before = parseInt(begun.checkpoint.slice(0, 8) || "0", 16);
    const worked = before + now() - begun.workSince;
    const whole = Math.floor(worked / checkpointMs) * checkpointMs;
    if (whole === 0) return begun.saved;
    const mark = begun.task.slice(0, 8);
    return whole.toString(16).padStart(8, "0") + mark;
  }

  /** Lists the end of a run. */
  #end(begun, how) {
    if (begun.end !== undefined || !this.#isUp) return;
    const saved = how === "done" ? "" : this.#savedNow(begun);
    this.#leave(begun, how);
    begun.end.n = ++this.#lastEnd;
    begun.end.saved = saved;
    this.#ends.push(begun);
    const highest = this.#over.get(begun.task) ?? 0;
    this.#over.set(begun.task, Math.max(highest, begun.run));
    for (const wake of [...this.#waiting]) wake();
  }

  /** Takes a run out of the list, and breaks its gang. */
  #leave(begun, how) {
    begun.end = { how, at: now(), ackedAt: undefined };
    this.#running.delete(`${begun.task}#${begun.run}`);
    this.stage.record.add("end", {
      worker: this.id,
      task: begun.task,
      run: begun.run,
      how,
    });
    if (!begun.phase.gang || how === "alone") return;
    const gang = this.stage.runs.gang(begun.task, begun.run);
    const others = how === "done" ? "done" : "broken";
    for (const each of gang) {
      if (each.end === undefined) each.worker.#end(each, others);
    }
  }

  #stopRun({ task, run }) {
    this.stage.record.add("stop", { worker: this.id, task, run });
    const highest = this.#over.get(task) ?? 0;
    this.#over.set(task, Math.max(highest, run));
    const begun = this.#running.get(`${task}#${run}`);
    if (begun !== undefined) {
      setTimeout(() => this.#end(begun, "stopped"), stopMs);
    }
    return this.#ok();
  }

  async #hold({ deadlineMs, ackSeq = 0, waitMs = 0 }) {
    this.#extendLease(deadlineMs);
    while (this.#ends.length > 0 && this.#ends[0].end.n <= ackSeq) {
      const begun = this.#ends.shift();
      begun.end.ackedAt = now();
      begun.end.lapsed = this.#lapsedAt > begun.end.at;
      this.stage.record.add("end-acked", {
        worker: this.id,
        task: begun.task,
        run: begun.run,
        how: begun.end.how,
        leaseLapsed: begun.end.lapsed,
      });
    }
    if (this.#ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        this.#waiting.add(wake);
      });
    }
    if (!this.#isUp) return undefined;
    const running = [...this.#running.values()].map((begun) => [
      begun.task,
      begun.run,
      this.#savedNow(begun),
      this.#percent(begun),
      begun.phase.cpu ?? 0,
    ]);
    const finished = this.#ends.slice(0, maxListedEnds).map((begun) => [
      begun.end.n,
      begun.task,
      begun.run,
      begun.end.how,
      begun.end.saved,
    ]);
    return this.#ok({ running, finished });
  }

  #percent(begun) {
    if (begun.workSince === undefined) return 0;
    const worked = now() - begun.workSince;
    if (begun.phase.longRunning) return worked > startupMs ? 100 : 10;
    const before = parseInt(begun.checkpoint.slice(0, 8) || "0", 16);
    const ms = this.stage.workMs(begun);
    return Math.min(99, Math.floor(100 * (before + worked) / ms));
  }

  #watchLease() {
    if (this.watch !== undefined) return;
    this.watch = setInterval(() => this.#lapse(), 20);
    this.#timers.add(this.watch);
  }
}
