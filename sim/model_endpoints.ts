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
import type { Oracle } from "./oracle.ts";
import type { ProcessClock, VirtualClock } from "./virtual_clock.ts";

const wayMs = 1;
const maxLeaseMs = 10_000;
const stopMs = 900;
const startupMs = 400;

/** Time limit of an order, in ms. */
const orderMs = 1_000;

/** Longest delay of an order that acts late, in ms. */
const lateMs = 4_000;

/** What the model knows of a task's work. */
export interface TaskModel {
  readonly step: StepSpec;
  readonly workMs: number;
  /** Whether a run of this number fails. */
  fails(run: number): boolean;
  /** Whether the endpoint takes a start with that ticket now. */
  takes(endpoint: string, ticket: string): boolean;
}

interface ModelRun {
  readonly task: string;
  readonly run: number;
  readonly model: TaskModel;
  readonly startedAt: number;
  stopping: boolean;
}

interface ModelEnd {
  readonly seq: number;
  readonly task: string;
  readonly run: number;
  readonly end: EndKind;
  /** Whether the lease has lapsed since; then nobody can take note of it. */
  isLapsed: boolean;
}

/** One life of one endpoint. */
export class ModelEndpoint {
  readonly runs = new Map<string, ModelRun>();
  readonly #highest = new Map<string, number>();
  #ends: ModelEnd[] = [];
  #seq = 0;
  #term = 0;
  #leaseUntil = 0;
  #wakes = new Set<() => void>();
  isUp = true;
  /** Whether it can be reached; what runs there goes on. */
  isCut = false;

  constructor(
    readonly info: TaskEndpoint,
    private readonly clock: VirtualClock,
    private readonly bornAt: number,
    private readonly drift: number,
    private readonly oracle: Oracle,
    private readonly modelOf: (task: string) => TaskModel | undefined,
  ) {}

  /** The endpoint's own clock in ms. */
  get clockMs(): number {
    return Math.floor((this.clock.now() - this.bornAt) * (1 - this.drift));
  }

  /** Whether a task is at work here. */
  isAtWork(task: string): boolean {
    const run = this.runs.get(task);
    return run !== undefined && !run.stopping && this.#percent(run) === 100;
  }

  /** Ends the life and all that runs in it. */
  crash(): void {
    for (const { task, run } of this.runs.values()) {
      const wasAtWork = this.isAtWork(task);
      this.oracle.ended(task, run, this.info.id, "lost", wasAtWork);
    }
    this.isUp = false;
    this.runs.clear();
    this.#wake();
  }

  /** Carries out a start. */
  start(order: StartOrder): OrderOutcome {
    if (!this.#admits(order.term)) return rejected("fenced");
    const present = this.runs.get(order.task);
    if (present?.run === order.run) return this.#done();
    this.#extend(order.leaseUntil);
    const model = this.modelOf(order.task);
    if (model === undefined) return rejected("invalid");
    if (order.run <= (this.#highest.get(order.task) ?? 0)) {
      return rejected("stale-run");
    }
    if (order.leaseUntil <= this.clockMs) return rejected("too-late");
    if (!model.takes(this.info.id, order.ticket)) return rejected("no-ticket");
    if (!this.#hasRoom(model.step)) return rejected("no-room");
    this.#begin(order, model);
    return this.#done();
  }

  /** Carries out a stop; `isLate`: long after it was sent. */
  stop(order: StopOrder, isLate: boolean): OrderOutcome {
    if (!this.#admits(order.term)) return rejected("fenced");
    const highest = this.#highest.get(order.task) ?? 0;
    this.#highest.set(order.task, Math.max(highest, order.run));
    const run = this.runs.get(order.task);
    if (run !== undefined && run.run <= order.run && !run.stopping) {
      if (this.isAtWork(run.task)) {
        this.oracle.stopping(run.task, run.run, this.info.id, isLate);
      }
      run.stopping = true;
      this.clock.after(stopMs, () => this.#end(run, "stopped"));
    }
    return this.#done();
  }

  /** Carries out a hold; waits for an end if asked to. */
  async hold(order: HoldOrder): Promise<HoldOutcome> {
    if (!this.#admits(order.term)) {
      return { kind: "rejected", reason: "fenced" };
    }
    if (order.leaseUntil !== undefined) this.#extend(order.leaseUntil);
    for (const end of this.#ends) {
      if (end.seq > order.recordedEnd) break;
      if (end.isLapsed) continue;
      this.oracle.noted(end.task, end.run, this.info.id);
    }
    this.#ends = this.#ends.filter((end) => end.seq > order.recordedEnd);
    if (this.#ends.length === 0 && order.waitMs > 0) {
      await new Promise<void>((resolve) => {
        const cancel = this.clock.after(order.waitMs, resolve);
        this.#wakes.add(() => {
          cancel();
          resolve();
        });
      });
    }
    return { kind: "lists", lists: this.#lists() };
  }

  #lists() {
    return {
      clockMs: this.clockMs,
      life: this.info.life,
      running: [...this.runs.values()].map((run) => ({
        task: run.task,
        run: run.run,
        checkpoint: "",
        percent: this.#percent(run),
        load: undefined,
      })),
      ended: this.#ends.map(({ seq, task, run, end }) => (
        { seq, task, run, end, checkpoint: "" }
      )),
    };
  }

  #percent({ model, startedAt }: ModelRun): number {
    const ran = this.clock.now() - startedAt;
    if (model.step.longRunning) return ran >= startupMs ? 100 : 0;
    return Math.min(99, Math.floor(100 * ran / model.workMs));
  }

  #begin(order: StartOrder, model: TaskModel): void {
    const { task, run, payload } = order;
    const begun = {
      task,
      run,
      model,
      startedAt: this.clock.now(),
      stopping: false,
    };
    this.runs.set(task, begun);
    this.#highest.set(task, run);
    this.oracle.started(task, run, this.info.id, payload);
    if (!model.step.longRunning) {
      const end = model.fails(run) ? "failed" : "done";
      this.clock.after(model.workMs, () => this.#end(begun, end));
    }
    this.#watchLease();
  }

  #end(run: ModelRun, end: EndKind): void {
    if (!this.isUp || this.runs.get(run.task) !== run) return;
    const wasAtWork = this.isAtWork(run.task);
    this.runs.delete(run.task);
    const seq = ++this.#seq;
    const { task } = run;
    this.#ends.push({ seq, task, run: run.run, end, isLapsed: false });
    this.oracle.ended(run.task, run.run, this.info.id, end, wasAtWork);
    this.#wake();
  }

  #watchLease(): void {
    const left = (this.#leaseUntil - this.clockMs) / (1 - this.drift);
    this.clock.after(Math.max(1, left), () => {
      if (this.runs.size === 0 || !this.isUp) return;
      if (this.clockMs < this.#leaseUntil) return this.#watchLease();
      for (const run of [...this.runs.values()]) this.#end(run, "lapsed");
    });
  }

  #extend(until: number): void {
    if (this.clockMs >= this.#leaseUntil) {
      for (const end of this.#ends) end.isLapsed = true;
    }
    const most = this.clockMs + maxLeaseMs;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, most));
  }

  #admits(term: number): boolean {
    if (term < this.#term) return false;
    this.#term = term;
    return true;
  }

  #hasRoom(step: StepSpec): boolean {
    const { capacity } = this.info;
    const used = [...this.runs.values()].reduce(
      (sum, run) => sum + run.model.step.demand.cpuMillis,
      0,
    );
    return used + step.demand.cpuMillis <= capacity.cpuMillis;
  }

  #done(): OrderOutcome {
    return { kind: "done", clockMs: this.clockMs };
  }

  #wake(): void {
    const wakes = [...this.#wakes];
    this.#wakes.clear();
    for (const wake of wakes) wake();
  }
}

function rejected(reason: Rejection) {
  return { kind: "rejected", reason } as const;
}

const noAnswer = { kind: "unknown", message: "no answer" } as const;

/** Carries an order out; `isLate`: after its sender has given it up. */
type OrderAction = (endpoint: ModelEndpoint, isLate: boolean) => OrderOutcome;

/** Orders of one process to the model's endpoints. */
export class ModelOrders implements TaskOrders {
  /** Share of orders that go unanswered and act late. */
  lateShare = 0;

  constructor(
    private readonly process: ProcessClock,
    private readonly clock: VirtualClock,
    private readonly random: () => number,
    private readonly find: (id: string) => ModelEndpoint | undefined,
  ) {}

  start(to: TaskEndpoint, order: StartOrder): Promise<OrderOutcome> {
    return this.#send(to, (endpoint) => endpoint.start(order));
  }

  stop(to: TaskEndpoint, order: StopOrder): Promise<OrderOutcome> {
    return this.#send(to, (endpoint, isLate) => endpoint.stop(order, isLate));
  }

  pace(): Promise<OrderOutcome> {
    return Promise.resolve({ kind: "done", clockMs: undefined });
  }

  hold(to: TaskEndpoint, order: HoldOrder): Promise<HoldOutcome> {
    return this.process.deliver(this.#hold(to, order));
  }

  async #hold(to: TaskEndpoint, order: HoldOrder): Promise<HoldOutcome> {
    await this.#wait(wayMs);
    const endpoint = this.#reach(to);
    if (endpoint === undefined) {
      await this.#wait(orderMs + order.waitMs);
      return noAnswer;
    }
    const outcome = await endpoint.hold(order);
    await this.#wait(wayMs);
    return this.#reach(to) === undefined ? noAnswer : outcome;
  }

  #send(
    to: TaskEndpoint,
    act: OrderAction,
  ): Promise<OrderOutcome> {
    return this.process.deliver(this.#order(to, act));
  }

  async #order(
    to: TaskEndpoint,
    act: OrderAction,
  ): Promise<OrderOutcome> {
    await this.#wait(wayMs);
    const endpoint = this.#reach(to);
    if (endpoint === undefined) {
      await this.#wait(orderMs);
      return noAnswer;
    }
    if (this.random() < this.lateShare) {
      this.clock.after(this.random() * lateMs, () => {
        if (endpoint.isUp) act(endpoint, true);
      });
      await this.#wait(orderMs);
      return noAnswer;
    }
    const outcome = act(endpoint, false);
    await this.#wait(wayMs);
    return outcome;
  }

  #reach(to: TaskEndpoint): ModelEndpoint | undefined {
    const endpoint = this.find(to.id);
    if (endpoint === undefined || !endpoint.isUp) return undefined;
    if (endpoint.info.life !== to.life || endpoint.isCut) return undefined;
    return endpoint;
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(ms, resolve);
    });
  }
}
