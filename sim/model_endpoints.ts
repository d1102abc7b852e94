/**
 * Model of the endpoints that run tasks, and of the orders sent to them. It
 * covers capacity, leases measured by a drifting clock, lists of ended runs,
 * fencing tokens, reboots, and unanswered orders that take effect late.
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

/** Network delay of an order or of its answer, in ms. */
const oneWayDelayMs = 1;

/** Longest lease that an endpoint grants, in ms of its own clock. */
const maxLeaseMs = 10_000;

/** Time from a stop order to the end of the run, in ms. */
const stopDurationMs = 900;

/** Time from the start of a long-running task until it is available, in ms. */
const startupMs = 400;

/** Timeout of an order, in ms. */
const orderTimeoutMs = 1_000;

/** Longest delay of an order that takes effect late, in ms. */
const maxLateDelayMs = 4_000;

/** How a task behaves when an endpoint runs it. */
export interface TaskModel {
  readonly step: StepSpec;
  /** Run time in ms; a long-running task has no end of its own. */
  readonly durationMs: number;
  /** Whether the run with this number fails. */
  fails(run: number): boolean;
  /** Whether the endpoint accepts a start with this ticket now. */
  admits(endpoint: string, ticket: string): boolean;
}

/** A run that has not ended. */
interface ActiveRun {
  readonly task: string;
  readonly run: number;
  readonly model: TaskModel;
  readonly startedAt: number;
  isStopping: boolean;
}

/** A run that has ended and that no hold order has confirmed as recorded. */
interface EndedRun {
  readonly seq: number;
  readonly task: string;
  readonly run: number;
  readonly end: EndKind;
  /**
   * Whether the lease lapsed after the run ended. The owner may then have
   * given the run up as lost, so the oracle does not count this end.
   */
  isLeaseLapsed: boolean;
}

/** One incarnation of an endpoint, from its boot to its crash. */
export class ModelEndpoint {
  /** Active runs by task. */
  readonly runs = new Map<string, ActiveRun>();
  /** Highest run number seen, by task; only a higher one may start. */
  readonly #highestRuns = new Map<string, number>();
  #endedRuns: EndedRun[] = [];
  #lastEndSeq = 0;
  #highestTerm = 0;
  /** End of the lease, in ms of the endpoint's clock. */
  #leaseUntil = 0;
  /** Callbacks that answer the hold orders waiting for a run to end. */
  #pendingHolds = new Set<() => void>();
  /** False after a crash. */
  isUp = true;
  /** Whether the network to it is cut; its tasks keep running. */
  isIsolated = false;

  /**
   * `bootedAt` is in ms of `clock`; `clockDrift` is the share by which the
   * endpoint's own clock runs slow.
   */
  constructor(
    readonly info: TaskEndpoint,
    private readonly clock: VirtualClock,
    private readonly bootedAt: number,
    private readonly clockDrift: number,
    private readonly oracle: BatchOracle,
    private readonly modelOf: (task: string) => TaskModel | undefined,
  ) {}

  /** Time since boot in ms by the endpoint's own, slower clock. */
  get clockMs(): number {
    return Math.floor(
      (this.clock.now() - this.bootedAt) * (1 - this.clockDrift),
    );
  }

  /**
   * Whether a long-running task has completed its startup here and is not
   * being stopped. Other tasks are never available in this sense.
   */
  isAvailable(task: string): boolean {
    const run = this.runs.get(task);
    return run !== undefined && !run.isStopping &&
      this.#progressPercent(run) === 100;
  }

  /** Ends this incarnation and all its runs. */
  crash(): void {
    for (const { task, run } of this.runs.values()) {
      const wasAvailable = this.isAvailable(task);
      this.oracle.runEnded(task, run, this.info.id, "lost", wasAvailable);
    }
    this.isUp = false;
    this.runs.clear();
    this.#answerPendingHolds();
  }

  /** Carries out a start order. */
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

  /**
   * Carries out a stop order. `isLate` says that the order was delayed and its
   * sender gets no answer.
   */
  stop(order: StopOrder, isLate: boolean): OrderOutcome {
    if (!this.#acceptTerm(order.term)) return rejected("fenced");
    const highestRun = this.#highestRuns.get(order.task) ?? 0;
    this.#highestRuns.set(order.task, Math.max(highestRun, order.run));
    const run = this.runs.get(order.task);
    if (run !== undefined && run.run <= order.run && !run.isStopping) {
      if (this.isAvailable(run.task)) {
        this.oracle.runStopping(run.task, run.run, this.info.id, isLate);
      }
      run.isStopping = true;
      this.clock.after(stopDurationMs, () => this.#endRun(run, "stopped"));
    }
    return this.#doneOutcome();
  }

  /**
   * Carries out a hold order: extends the lease and forgets recorded ends. If
   * no end is left to list, waits up to `order.waitMs` for one.
   */
  async hold(order: HoldOrder): Promise<HoldOutcome> {
    if (!this.#acceptTerm(order.term)) {
      return { kind: "rejected", reason: "fenced" };
    }
    if (order.leaseUntil !== undefined) this.#extendLease(order.leaseUntil);
    for (const end of this.#endedRuns) {
      if (end.seq > order.recordedSeq) break;
      if (end.isLeaseLapsed) continue;
      this.oracle.endRecorded(end.task, end.run, this.info.id);
    }
    this.#endedRuns = this.#endedRuns.filter((end) =>
      end.seq > order.recordedSeq
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

  /** Progress; a long-running task is at 100 once it is available. */
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
      isStopping: false,
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

  /** Ends all runs as lapsed when the lease is over. */
  #scheduleLeaseCheck(): void {
    const remainingMs = (this.#leaseUntil - this.clockMs) /
      (1 - this.clockDrift);
    this.clock.after(Math.max(1, remainingMs), () => {
      if (this.runs.size === 0 || !this.isUp) return;
      if (this.clockMs < this.#leaseUntil) return this.#scheduleLeaseCheck();
      for (const run of [...this.runs.values()]) this.#endRun(run, "lapsed");
    });
  }

  /** Extends the lease, by at most `maxLeaseMs` from now. */
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

  /** Checks a fencing token; a lower one than seen before is rejected. */
  #acceptTerm(term: number): boolean {
    if (term < this.#highestTerm) return false;
    this.#highestTerm = term;
    return true;
  }

  /** Whether enough CPU is free for one more task of a step. */
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

/**
 * Carries out an order at an endpoint. `isLate` says that the order was delayed
 * and its sender gets no answer.
 */
type OrderHandler = (endpoint: ModelEndpoint, isLate: boolean) => OrderOutcome;

/** Sends the orders of one process to the model's endpoints. */
export class ModelOrders implements TaskOrders {
  /** Share of start and stop orders that get no answer and take effect late. */
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

  /** Accepts a pace order and ignores it. */
  pace(): Promise<OrderOutcome> {
    return Promise.resolve({ kind: "done", clockMs: undefined });
  }

  hold(to: TaskEndpoint, order: HoldOrder): Promise<HoldOutcome> {
    return this.process.deliver(this.#sendHold(to, order));
  }

  /** The model sends each order at once, so that there is none to end. */
  endIncarnation(): void {}

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

  /** The endpoint, if this incarnation of it is up and connected. */
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
