/**
 * Model of one incarnation of an endpoint that runs tasks. It covers capacity,
 * leases measured by a drifting clock, lists of ended runs, and fencing tokens.
 *
 * An incarnation knows nothing of earlier ones: its clock, its fencing token
 * and its numbers of runs and ends begin anew.
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
} from "../src/endpoint/index.ts";
import type { StepSpec } from "../src/batch/index.ts";
import { EndedRuns } from "./ended_runs.ts";
import type { GangMember, ModelGangs } from "./model_gangs.ts";
import type { BatchOracle } from "./oracle.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** Longest lease that an endpoint grants, in ms of its own clock. */
const maxLeaseMs = 10_000;

/** Time from a stop order to the end of the run, in ms. */
const stopDurationMs = 900;

/** Time from the start of a long-running task until it is available, in ms. */
const startupMs = 400;

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
  /** Its part in a gang; undefined if it works by itself. */
  member?: GangMember;
}

/** What an incarnation uses of the simulation. */
export interface EndpointEnvironment {
  readonly clock: VirtualClock;
  readonly oracle: BatchOracle;
  /** Share by which the endpoint's own clock runs slow. */
  readonly clockDrift: number;
  readonly modelOf: (task: string) => TaskModel | undefined;
  readonly gangs: ModelGangs;
}

/** Key of a run; several runs of one task may be active at once. */
function runKey(task: string, run: number): string {
  return `${task}#${run}`;
}

/** Outcome of an order that an endpoint rejects. */
export function rejected(reason: Rejection) {
  return { kind: "rejected", reason } as const;
}

/** One incarnation of an endpoint, from its boot to its crash. */
export class ModelEndpoint {
  /** Active runs by task and run number. */
  readonly runs = new Map<string, ActiveRun>();
  /**
   * Highest run number that was stopped or has ended here, by task. Only a
   * higher one may start; a run that is still active sets no bound.
   */
  readonly #highestOverRuns = new Map<string, number>();
  readonly #endedRuns = new EndedRuns();
  readonly #bootedAt: number;
  #highestTerm = 0;
  /** End of the lease, in ms of the endpoint's clock. */
  #leaseUntil = 0;
  /** Callbacks that answer the hold orders waiting for a run to end. */
  #pendingHolds = new Set<() => void>();
  /** Deliveries that wait for the end of a cut. */
  #pendingDeliveries: (() => void)[] = [];
  /** False after a crash. */
  isUp = true;
  /** Whether the network to it is cut; its tasks keep running. */
  isIsolated = false;
  /** Whether the network to it is cut while its row stays in the store. */
  isDisconnected = false;

  constructor(
    readonly info: TaskEndpoint,
    private readonly environment: EndpointEnvironment,
  ) {
    this.#bootedAt = environment.clock.now();
  }

  /** Time since boot in ms by the endpoint's own, slower clock. */
  get clockMs(): number {
    const { clock, clockDrift } = this.environment;
    return Math.floor((clock.now() - this.#bootedAt) * (1 - clockDrift));
  }

  /** Whether orders reach it, and answers their sender. */
  get isReachable(): boolean {
    return !this.isIsolated && !this.isDisconnected;
  }

  /** CPU that no run uses, in thousandths of a core. */
  get freeCpuMillis(): number {
    const usedCpuMillis = [...this.runs.values()].reduce(
      (sum, run) => sum + run.model.step.demand.cpuMillis,
      0,
    );
    return this.info.capacity.cpuMillis - usedCpuMillis;
  }

  /** Calls `deliver` once the network to it works again. */
  awaitReconnection(deliver: () => void): void {
    this.#pendingDeliveries.push(deliver);
  }

  /** Delivers what waits for the end of a cut, if none lasts. */
  deliverPending(): void {
    if (!this.isReachable) return;
    const deliveries = this.#pendingDeliveries;
    this.#pendingDeliveries = [];
    for (const deliver of deliveries) deliver();
  }

  /** Names of the long-running tasks that are available here. */
  get availableTasks(): readonly string[] {
    const available = [...this.runs.values()].filter((r) =>
      this.#isAvailableRun(r)
    );
    return available.map(({ task }) => task);
  }

  /**
   * Whether a long-running task has completed its startup here and is not
   * being stopped. Other tasks are never available in this sense.
   */
  isAvailable(task: string): boolean {
    return this.availableTasks.includes(task);
  }

  /** Ends this incarnation and all its runs. */
  crash(): void {
    for (const run of this.runs.values()) this.#reportEnd(run, "lost");
    this.isUp = false;
    const ended = [...this.runs.values()];
    this.runs.clear();
    for (const run of ended) this.#leaveGang(run);
    this.#answerPendingHolds();
  }

  /** Carries out a start order. */
  start(order: StartOrder): OrderOutcome {
    if (!this.#acceptTerm(order.term)) return rejected("fenced");
    const model = this.environment.modelOf(order.task);
    if (model === undefined) return rejected("invalid");
    this.#extendLease(order.leaseUntil);
    if (this.runs.has(runKey(order.task, order.run))) {
      return this.#doneOutcome();
    }
    if (order.run <= (this.#highestOverRuns.get(order.task) ?? 0)) {
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
    this.#raiseHighestOverRun(order.task, order.run);
    const run = this.runs.get(runKey(order.task, order.run));
    if (run !== undefined && !run.isStopping) {
      const { clock, oracle } = this.environment;
      if (this.#isAvailableRun(run)) {
        oracle.runStopping(run.task, run.run, this.info.id, isLate);
      }
      run.isStopping = true;
      clock.after(stopDurationMs, () => this.#endRun(run, "stopped"));
    }
    return this.#doneOutcome();
  }

  /**
   * Carries out a hold order: extends the lease and forgets recorded ends. If
   * no end is left to list, waits up to `order.waitMs` for one. Undefined when
   * the endpoint crashes before it answers.
   */
  async hold(order: HoldOrder): Promise<HoldOutcome | undefined> {
    if (!this.#acceptTerm(order.term)) return rejected("fenced");
    this.#extendLease(order.leaseUntil ?? 0);
    for (const { task, run } of this.#endedRuns.confirm(order.recordedSeq)) {
      this.environment.oracle.endRecorded(task, run, this.info.id);
    }
    if (this.#endedRuns.size === 0 && order.waitMs > 0) {
      await this.#waitForEnd(order.waitMs);
    }
    if (!this.isUp) return undefined;
    return { kind: "lists", lists: this.#listRuns() };
  }

  #waitForEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const answerNow = () => {
        this.#pendingHolds.delete(answerNow);
        cancel();
        resolve();
      };
      const cancel = this.environment.clock.after(waitMs, answerNow);
      this.#pendingHolds.add(answerNow);
    });
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
      ended: this.#endedRuns.list(),
      hasMoreEnds: this.#endedRuns.hasUnlisted,
    };
  }

  #isAvailableRun(run: ActiveRun): boolean {
    return !run.isStopping && this.#progressPercent(run) === 100;
  }

  /** Progress; a long-running task is at 100 once it is available. */
  #progressPercent({ model, startedAt }: ActiveRun): number {
    const elapsedMs = this.environment.clock.now() - startedAt;
    if (model.step.longRunning) return elapsedMs >= startupMs ? 100 : 0;
    return Math.min(99, Math.floor(100 * elapsedMs / model.durationMs));
  }

  #startRun(order: StartOrder, model: TaskModel): void {
    const { clock, oracle } = this.environment;
    const { task, run, payload } = order;
    const startedAt = clock.now();
    const activeRun: ActiveRun = {
      task,
      run,
      model,
      startedAt,
      isStopping: false,
    };
    this.runs.set(runKey(task, run), activeRun);
    oracle.runStarted(task, run, this.info.id, payload);
    if (model.step.gang) this.#joinGang(activeRun);
    else if (!model.step.longRunning) {
      const end = model.fails(run) ? "failed" : "done";
      clock.after(model.durationMs, () => this.#endRun(activeRun, end));
    }
    this.#scheduleLeaseCheck();
  }

  #joinGang(run: ActiveRun): void {
    const { task, model } = run;
    const end = (kind: EndKind) => this.#endRun(run, kind);
    run.member = { task, run: run.run, end };
    const { durationMs, step: { count } } = model;
    this.environment.gangs.join(run.member, { count, durationMs });
  }

  #leaveGang({ member }: ActiveRun): void {
    if (member !== undefined) this.environment.gangs.leave(member);
  }

  #endRun(run: ActiveRun, end: EndKind): void {
    const key = runKey(run.task, run.run);
    if (!this.isUp || this.runs.get(key) !== run) return;
    this.#reportEnd(run, end);
    this.runs.delete(key);
    this.#raiseHighestOverRun(run.task, run.run);
    const isConfirmed = this.#endedRuns.add(run.task, run.run, end);
    if (isConfirmed) {
      this.environment.oracle.endRecorded(run.task, run.run, this.info.id);
    }
    this.#answerPendingHolds();
    this.#leaveGang(run);
  }

  #reportEnd(run: ActiveRun, end: EndKind | "lost"): void {
    const wasAvailable = this.#isAvailableRun(run);
    this.environment.oracle.runEnded(
      run.task,
      run.run,
      this.info.id,
      end,
      wasAvailable,
    );
  }

  #raiseHighestOverRun(task: string, run: number): void {
    const highest = this.#highestOverRuns.get(task) ?? 0;
    this.#highestOverRuns.set(task, Math.max(highest, run));
  }

  /** Ends all runs as lapsed when the lease is over. */
  #scheduleLeaseCheck(): void {
    const { clock, clockDrift } = this.environment;
    const remainingMs = (this.#leaseUntil - this.clockMs) / (1 - clockDrift);
    clock.after(Math.max(1, remainingMs), () => {
      if (this.runs.size === 0 || !this.isUp) return;
      if (this.clockMs < this.#leaseUntil) return this.#scheduleLeaseCheck();
      for (const run of [...this.runs.values()]) this.#endRun(run, "lapsed");
    });
  }

  /**
   * Extends the lease, by at most `maxLeaseMs` from now; an earlier end than
   * the present one changes nothing.
   */
  #extendLease(requestedUntil: number): void {
    if (this.clockMs >= this.#leaseUntil) this.#endedRuns.markLeaseLapsed();
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
    return step.demand.cpuMillis <= this.freeCpuMillis;
  }

  #doneOutcome(): OrderOutcome {
    return { kind: "done", clockMs: this.clockMs };
  }

  #answerPendingHolds(): void {
    for (const answerNow of [...this.#pendingHolds]) answerNow();
  }
}
