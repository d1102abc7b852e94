/**
 * Stand-ins of workers, as PROTOCOL.md describes them: they start, stop and list
 * runs, hold leases by a clock of their own, and register in the store.
 */
import { serve } from "./http.mjs";

const heartbeatMs = 1_500;
const expiryMs = 3 * heartbeatMs;
const maxHoldMs = 10_000;
const stopMs = 50;
const checkMs = 5;

export class Worker {
  running = new Map();
  finished = [];
  lastSeq = 0;
  highestRun = new Map();
  fence = 0;
  deadlineMs = 0;
  waiting = new Set();
  isRegistered = false;
  /** Whether it reaches the store. */
  reachesStore = true;
  /** Whether a call with this fence number reaches it; set by the test. */
  isReachedBy = () => true;
  /**
   * Time in ms after which a start is carried out late, without an answer;
   * undefined for one that is carried out at once. Set by the test.
   */
  keepStart = () => undefined;
  /** Called when a run begins, when it ends, and when its end is taken note of. */
  onBegin = () => {};
  onEnd = () => {};
  onNoted = () => {};

  /** `clockRate` is the rate of its steady clock; 0.98 runs 2% slow. */
  constructor({ id, backend, zone, machine, store, clockRate = 1 }) {
    Object.assign(this, { id, backend, zone, machine, store, clockRate });
    this.capacity = { cpu: 16_000, memMb: 65_536, gpu: 0 };
    this.labels = ["a", "r1-1"];
    this.startedAt = performance.now();
    // It was there long before the entries.
    this.ageMs = 60_000;
    this.born = Date.now() - this.ageMs;
  }

  get clockMs() {
    const ms = this.ageMs + performance.now() - this.startedAt;
    return Math.floor(ms * this.clockRate);
  }

  async start() {
    await this.listen();
    this.beatAt = performance.now();
    this.timer = setInterval(() => this.tick(), checkMs);
  }

  async listen(port = 0) {
    const handle = (method, url, body, headers) =>
      this.handle(method, url, body, headers);
    this.server = await serve(handle, "127.0.0.1", port);
  }

  /**
   * Crashes, and starts again under the same id and address after a while. It
   * then knows nothing of before, and its clock and counts start anew.
   */
  async restart(downMs) {
    const port = Number(this.server.address.split(":")[1]);
    clearInterval(this.timer);
    this.server.close();
    for (const run of [...this.running.values()]) this.end(run, "crashed");
    await new Promise((resolve) => setTimeout(resolve, downMs));
    this.finished = [];
    this.lastSeq = 0;
    this.highestRun.clear();
    this.fence = 0;
    this.deadlineMs = 0;
    this.startedAt = performance.now();
    this.ageMs = 0;
    this.born = Date.now();
    this.isRegistered = false;
    await this.listen(port);
    this.beatAt = performance.now();
    this.timer = setInterval(() => this.tick(), checkMs);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
  }

  /** Registers and is removed; ends what is done, and what has no lease. */
  tick() {
    const now = performance.now();
    if (this.reachesStore) this.beatAt = now;
    if (now - this.beatAt > expiryMs) {
      if (this.isRegistered) {
        this.isRegistered = false;
        this.store.write([], [{ table: "servers", key: this.id }]);
      }
    } else if (this.reachesStore && !this.isRegistered) {
      this.isRegistered = true;
      this.store.putJson("servers", this.id, {
        backend: this.backend,
        addr: this.server.address,
        zone: this.zone,
        version: "v1",
        slots: 8,
        state: "ready",
        coldLeftMs: 0,
        capacity: this.capacity,
        labels: this.labels,
        machine: this.machine,
        born: this.born,
        seq: 1,
      });
    }
    const isLapsed = this.clockMs >= this.deadlineMs;
    for (const run of [...this.running.values()]) {
      if (isLapsed) this.end(run, "lapsed");
      else if (now >= run.endsAt) this.end(run, "done");
    }
  }

  end(run, how) {
    if (this.running.get(run.task) !== run) return;
    this.running.delete(run.task);
    this.finished.push([++this.lastSeq, run.task, run.run, how, ""]);
    this.onEnd(this, run, how);
    for (const wake of [...this.waiting]) wake();
  }

  async handle(_, { pathname }, body, headers) {
    if (!this.isReachedBy(body.fence ?? 0)) return undefined;
    const answer = await this.carryOut(pathname, body, headers);
    // An answer may also be held up.
    return this.isReachedBy(body.fence ?? 0) ? answer : undefined;
  }

  carryOut(pathname, body, headers) {
    if (headers["expect-instance"] !== this.id) return { status: 421 };
    const lateMs = pathname === "/-/run-start"
      ? this.keepStart(this, body)
      : undefined;
    if (lateMs === undefined) return this.perform(pathname, body);
    setTimeout(() => this.perform(pathname, body), lateMs);
    return new Promise(() => {});
  }

  perform(pathname, body) {
    const { fence = 0 } = body;
    if (fence < this.fence) return this.reject("fence");
    this.fence = fence;
    if (pathname === "/-/hold") return this.hold(body);
    if (pathname === "/-/run-start") return this.startRun(body);
    if (pathname === "/-/run-stop") return this.stopRun(body);
    if (pathname === "/-/pace") return this.accept();
    return { status: 400 };
  }

  accept(fields = {}) {
    return { status: 200, body: { clockMs: this.clockMs, ...fields } };
  }

  reject(reason) {
    return { status: 409, body: { clockMs: this.clockMs, reason } };
  }

  extend(deadlineMs) {
    if (deadlineMs === undefined) return;
    const most = this.clockMs + maxHoldMs;
    this.deadlineMs = Math.max(this.deadlineMs, Math.min(deadlineMs, most));
  }

  startRun({ task, run, spec, deadlineMs }) {
    if (this.running.get(task)?.run === run) return this.accept();
    if (run <= (this.highestRun.get(task) ?? 0)) {
      this.extend(deadlineMs);
      return this.reject("old");
    }
    if (deadlineMs <= this.clockMs) return this.reject("late");
    this.extend(deadlineMs);
    const now = performance.now();
    // In these tests a job's text is the run time of its tasks, in ms.
    const begun = { task, run, beganAt: now, endsAt: now + Number(spec) };
    this.highestRun.set(task, run);
    this.running.set(task, begun);
    this.onBegin(this, begun);
    return this.accept();
  }

  stopRun({ task, run }) {
    const running = this.running.get(task);
    const highest = this.highestRun.get(task) ?? 0;
    this.highestRun.set(task, Math.max(highest, run));
    if (running !== undefined && running.run <= run) {
      setTimeout(() => this.end(running, "stopped"), stopMs);
    }
    return this.accept();
  }

  async hold({ ackSeq = 0, deadlineMs, waitMs = 0 }) {
    this.extend(deadlineMs);
    for (const end of this.finished) {
      if (end[0] <= ackSeq) this.onNoted(this, end);
    }
    this.finished = this.finished.filter(([seq]) => seq > ackSeq);
    if (this.finished.length === 0 && waitMs > 0) await this.change(waitMs);
    const now = performance.now();
    const running = [...this.running.values()].map((run) => {
      const share = (now - run.beganAt) / (run.endsAt - run.beganAt);
      return [run.task, run.run, "", Math.floor(99 * share), 1_000];
    });
    const finished = this.finished.slice(0, 500);
    return this.accept({ born: this.born, running, finished });
  }

  change(ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.waiting.add(wake);
    });
  }
}
