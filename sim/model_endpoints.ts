/**
 * A model of the endpoints that run tasks: capacity, leases on a drifting
 * clock, lists of ends, fencing tokens, lives, and orders that act late.
 */
import type {
  EndKind,
  HoldOrder,
  HoldOutcome,
  OrderOutcome,
  Rejection,
  StartOrder,
  StopOrder,
  TaskEndpoint,
  TaskOrders,
} from "../src/endpoint/index.ts";
import type { StepSpec } from "../src/batch/index.ts";
import type { BatchOracle } from "./oracle.ts";
import type { ProcessClock, VirtualClock } from "./virtual_clock.ts";

const oneWayDelayMs = 1;
const maxLeaseMs = 10_000;
const stopDurationMs = 900;
const startupMs = 400;

/** Time limit of an order, in ms. */
const orderTimeoutMs = 1_000;

/** Longest delay of an order that acts late, in ms. */
const maxLateDelayMs = 4_000;

/** What the model knows of a task's work. */
export interface TaskModel {
  readonly step: StepSpec;
  readonly durationMs: number;
  /** Whether a run of this number fails. */
  fails(run: number): boolean;
  /** Whether the endpoint takes a start with that ticket now. */
  admits(endpoint: string, ticket: string): boolean;
}

interface ActiveRun {
  readonly task: string;
  readonly run: number;
  readonly model: TaskModel;
  readonly startedAt: number;
  stopping: boolean;
}

interface EndedRun {
  readonly seq: number;
  readonly task: string;
  readonly run: number;
  readonly end: EndKind;
  /** Whether the lease has lapsed since; then nobody can take note of it. */
  isLeaseLapsed: boolean;
}

/** One life of one endpoint. */
export class ModelEndpoint {
  readonly runs = new Map<string, ActiveRun>();
  readonly #highestRuns = new Map<string, number>();
  #endedRuns: EndedRun[] = [];
  #lastEndSeq = 0;
  #highestTerm = 0;
  #leaseUntil = 0;
  #pendingHolds = new Set<() => void>();
  isUp = true;
  /** Whether it can be reached; what runs there goes on. */
  isIsolated = false;

  constructor(
    readonly info: TaskEndpoint,
    private readonly clock: VirtualClock,
    private readonly bootedAt: number,
    private readonly clockDrift: number,
    private readonly oracle: BatchOracle,
    private readonly modelOf: (task: string) => TaskModel | undefined,
  ) {}

  /** The endpoint's own clock in ms. */
  get clockMs(): number {
    return Math.floor(
      (this.clock.now() - this.bootedAt) * (1 - this.clockDrift),
    );
  }

  /** Whether a task is at work here. */
  isAvailable(task: string): boolean {
    const run = this.runs.get(task);
    return run !== undefined && !run.stopping &&
      this.#progressPercent(run) === 100;
  }

  /** Ends the life and all that runs in it. */
  crash(): void {
    for (const { task, run } of this.runs.values()) {
      const wasAvailable = this.isAvailable(task);
      this.oracle.runEnded(task, run, this.info.id, "lost", wasAvailable);
    }
    this.isUp = false;
    this.runs.clear();
    this.#answerPendingHolds();
  }

  /** Carries out a start. */
  start(order: StartOrder): OrderOutcome {
    if (!this.#acceptTerm(order.term)) return rejected("fenced");
    const activeRun = this.runs.get(order.task);
    if (activeRun?.run === order.run) return this.#doneOutcome();
    this.#extendLease(order.leaseUntil);
    const model = this.modelOf(order.task);
    if (model === undefined) return rejected("invalid");
    if (order.run <= (this.#highestRuns.get(order.task) ?? 0)) {
      return rejected("stale-run");
    }
    if (order.leaseUntil <= this.clockMs) return rejected("too-late");
    if (!model.admits(this.info.id, order.ticket)) return rejected("no-ticket");
    if (!this.#hasCapacity(model.step)) return rejected("no-room");
    this.#startRun(order, model);
    return this.#doneOutcome();
  }

  /** Carries out a stop; `isLate`: long after it was sent. */
  stop(order: StopOrder, isLate: boolean): OrderOutcome {
    if (!this.#acceptTerm(order.term)) return rejected("fenced");
    const highestRun = this.#highestRuns.get(order.task) ?? 0;
    this.#highestRuns.set(order.task, Math.max(highestRun, order.run));
    const run = this.runs.get(order.task);
    if (run !== undefined && run.run <= order.run && !run.stopping) {
      if (this.isAvailable(run.task)) {
        this.oracle.runStopping(run.task, run.run, this.info.id, isLate);
      }
      run.stopping = true;
      this.clock.after(stopDurationMs, () => this.#endRun(run, "stopped"));
    }
    return this.#doneOutcome();
  }

  /** Carries out a hold; waits for an end if asked to. */
  async hold(order: HoldOrder): Promise<HoldOutcome> {
    if (!this.#acceptTerm(order.term)) {
      return { kind: "rejected", reason: "fenced" };
    }
    if (order.leaseUntil !== undefined) this.#extendLease(order.leaseUntil);
    for (const end of this.#endedRuns) {
      if (end.seq > order.recordedEnd) break;
      if (end.isLeaseLapsed) continue;
      this.oracle.endRecorded(end.task, end.run, this.info.id);
    }
    this.#endedRuns = this.#endedRuns.filter((end) =>
      end.seq > order.recordedEnd
    );
    if (this.#endedRuns.length === 0 && order.waitMs > 0) {
      await new Promise<void>((resolve) => {
        const cancel = this.clock.after(order.waitMs, resolve);
        this.#pendingHolds.add(() => {
          cancel();
          resolve();
        });
      });
    }
    return { kind: "lists", lists: this.#listRuns() };
  }

  #listRuns() {
    return {
      clockMs: this.clockMs,
      life: this.info.life,
      running: [...this.runs.values()].map((run) => ({
        task: run.task,
        run: run.run,
        checkpoint: "",
        percent: this.#progressPercent(run),
        load: undefined,
      })),
      ended: this.#endedRuns.map(({ seq, task, run, end }) => (
        { seq, task, run, end, checkpoint: "" }
      )),
    };
  }

  #progressPercent({ model, startedAt }: ActiveRun): number {
    const elapsedMs = this.clock.now() - startedAt;
    if (model.step.longRunning) return elapsedMs >= startupMs ? 100 : 0;
    return Math.min(99, Math.floor(100 * elapsedMs / model.durationMs));
  }

  #startRun(order: StartOrder, model: TaskModel): void {
    const { task, run, payload } = order;
    const activeRun = {
      task,
      run,
      model,
      startedAt: this.clock.now(),
      stopping: false,
    };
    this.runs.set(task, activeRun);
    this.#highestRuns.set(task, run);
    this.oracle.runStarted(task, run, this.info.id, payload);
    if (!model.step.longRunning) {
      const end = model.fails(run) ? "failed" : "done";
      this.clock.after(model.durationMs, () => this.#endRun(activeRun, end));
    }
    this.#scheduleLeaseCheck();
  }

  #endRun(run: ActiveRun, end: EndKind): void {
    if (!this.isUp || this.runs.get(run.task) !== run) return;
    const wasAvailable = this.isAvailable(run.task);
    this.runs.delete(run.task);
    const seq = ++this.#lastEndSeq;
    const { task } = run;
    this.#endedRuns.push({
      seq,
      task,
      run: run.run,
      end,
      isLeaseLapsed: false,
    });
    this.oracle.runEnded(run.task, run.run, this.info.id, end, wasAvailable);
    this.#answerPendingHolds();
  }

  #scheduleLeaseCheck(): void {
    const remainingMs = (this.#leaseUntil - this.clockMs) /
      (1 - this.clockDrift);
    this.clock.after(Math.max(1, remainingMs), () => {
      if (this.runs.size === 0 || !this.isUp) return;
      if (this.clockMs < this.#leaseUntil) return this.#scheduleLeaseCheck();
      for (const run of [...this.runs.values()]) this.#endRun(run, "lapsed");
    });
  }

  #extendLease(requestedUntil: number): void {
    if (this.clockMs >= this.#leaseUntil) {
      for (const end of this.#endedRuns) end.isLeaseLapsed = true;
    }
    const maxLeaseUntil = this.clockMs + maxLeaseMs;
    this.#leaseUntil = Math.max(
      this.#leaseUntil,
      Math.min(requestedUntil, maxLeaseUntil),
    );
  }

  #acceptTerm(term: number): boolean {
    if (term < this.#highestTerm) return false;
    this.#highestTerm = term;
    return true;
  }

  #hasCapacity(step: StepSpec): boolean {
    const { capacity } = this.info;
    const usedCpuMillis = [...this.runs.values()].reduce(
      (sum, run) => sum + run.model.step.demand.cpuMillis,
      0,
    );
    return usedCpuMillis + step.demand.cpuMillis <= capacity.cpuMillis;
  }

  #doneOutcome(): OrderOutcome {
    return { kind: "done", clockMs: this.clockMs };
  }

  #answerPendingHolds(): void {
    const answerCallbacks = [...this.#pendingHolds];
    this.#pendingHolds.clear();
    for (const answerNow of answerCallbacks) answerNow();
  }
}

function rejected(reason: Rejection) {
  return { kind: "rejected", reason } as const;
}

const noAnswer = { kind: "unknown", message: "no answer" } as const;

/** Carries an order out; `isLate`: after its sender has given it up. */
type OrderHandler = (endpoint: ModelEndpoint, isLate: boolean) => OrderOutcome;

/** Orders of one process to the model's endpoints. */
export class ModelOrders implements TaskOrders {
  /** Share of orders that go unanswered and act late. */
  lateShare = 0;

  constructor(
    private readonly process: ProcessClock,
    private readonly clock: VirtualClock,
    private readonly random: () => number,
    private readonly findEndpoint: (id: string) => ModelEndpoint | undefined,
  ) {}

  start(to: TaskEndpoint, order: StartOrder): Promise<OrderOutcome> {
    return this.#deliverOutcome(to, (endpoint) => endpoint.start(order));
  }

  stop(to: TaskEndpoint, order: StopOrder): Promise<OrderOutcome> {
    return this.#deliverOutcome(
      to,
      (endpoint, isLate) => endpoint.stop(order, isLate),
    );
  }

  pace(): Promise<OrderOutcome> {
    return Promise.resolve({ kind: "done", clockMs: undefined });
  }

  hold(to: TaskEndpoint, order: HoldOrder): Promise<HoldOutcome> {
    return this.process.deliver(this.#sendHold(to, order));
  }

  async #sendHold(to: TaskEndpoint, order: HoldOrder): Promise<HoldOutcome> {
    await this.#wait(oneWayDelayMs);
    const endpoint = this.#findReachable(to);
    if (endpoint === undefined) {
      await this.#wait(orderTimeoutMs + order.waitMs);
      return noAnswer;
    }
    const outcome = await endpoint.hold(order);
    await this.#wait(oneWayDelayMs);
    return this.#findReachable(to) === undefined ? noAnswer : outcome;
  }

  #deliverOutcome(
    to: TaskEndpoint,
    handle: OrderHandler,
  ): Promise<OrderOutcome> {
    return this.process.deliver(this.#sendOrder(to, handle));
  }

  async #sendOrder(
    to: TaskEndpoint,
    handle: OrderHandler,
  ): Promise<OrderOutcome> {
    await this.#wait(oneWayDelayMs);
    const endpoint = this.#findReachable(to);
    if (endpoint === undefined) {
      await this.#wait(orderTimeoutMs);
      return noAnswer;
    }
    if (this.random() < this.lateShare) {
      this.clock.after(this.random() * maxLateDelayMs, () => {
        if (endpoint.isUp) handle(endpoint, true);
      });
      await this.#wait(orderTimeoutMs);
      return noAnswer;
    }
    const outcome = handle(endpoint, false);
    await this.#wait(oneWayDelayMs);
    return outcome;
  }

  #findReachable(to: TaskEndpoint): ModelEndpoint | undefined {
    const endpoint = this.findEndpoint(to.id);
    if (endpoint === undefined || !endpoint.isUp) return undefined;
    if (endpoint.info.life !== to.life || endpoint.isIsolated) return undefined;
    return endpoint;
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(ms, resolve);
    });
  }
}
