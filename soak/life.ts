/**
 * One life of an endpoint: it runs tasks under leases by its own clock, lists
 * what runs and what has ended, and knows nothing of the lives before.
 */
import * as v from "valibot";
import { maxHoldMs, stopTimeoutMs } from "./bounds.ts";
import { type Call, JsonServer, type Reply } from "./json_server.ts";
import type { Capacity, PlayRecord, RunEnd, SeenRun } from "./play_record.ts";
import type { PlayClock } from "./pause.ts";

/** Time that a task that lasts takes until it is at work, in ms. */
const startupMs = 500;

/** Most ends of one answer. */
const maxListedEnds = 500;

/** Longest time for which a hold waits for an end, in ms. */
const maxWaitMs = 2_000;

/** Share of the longest time for a stop that a stop takes. */
const stopShare = 0.5;

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

const startSchema = v.object({
  task: v.string(),
  run: count,
  spec: v.optional(v.string(), ""),
  deadlineMs: v.pipe(v.number(), v.integer()),
  fence: v.optional(count, 0),
});

const stopSchema = v.object({
  task: v.string(),
  run: count,
  fence: v.optional(count, 0),
});

const holdSchema = v.object({
  fence: v.optional(count, 0),
  ackSeq: v.optional(count, 0),
  deadlineMs: v.optional(v.pipe(v.number(), v.integer())),
  waitMs: v.optional(count, 0),
});

type Start = v.InferOutput<typeof startSchema>;

/** What a task needs, and how it behaves once it runs. */
export interface TaskWork {
  /** Resources that the task takes. */
  readonly needs: Capacity;
  /** Time until the run ends by itself, in ms; undefined if it lasts. */
  readonly durationMs: number | undefined;
  /** Whether it then ends as failed. */
  readonly fails: boolean;
}

/** Finds out how a run behaves; undefined if nobody has sent the task. */
export type FindWork = (task: string, run: number) => TaskWork | undefined;

/** What stays the same over the lives of an endpoint. */
export interface EndpointIdentity {
  readonly id: string;
  readonly zone: string;
  readonly pool: string;
  readonly machine: string;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
}

/** What a life uses of the play. */
export interface LifeDependencies {
  readonly clock: PlayClock;
  readonly record: PlayRecord;
  readonly findWork: FindWork;
}

/** A run that has not ended. */
interface ActiveRun {
  readonly seen: SeenRun;
  readonly work: TaskWork;
  /** When it ends by itself or by a stop, in ms of the play. */
  endsAt: number;
  /** How it ends then. */
  end: RunEnd;
}

/** An end that is listed until it is taken note of. */
interface ListedEnd {
  readonly seq: number;
  readonly seen: SeenRun;
  /** Whether the lease has lapsed since. */
  hasLapsed: boolean;
}

/** One life of an endpoint. */
export class EndpointLife {
  /** Time of its start, in ms since 1970. */
  readonly born = Date.now();
  readonly #startedAt: number;
  readonly #server = new JsonServer((call) => this.#serve(call));
  readonly #active = new Map<string, ActiveRun>();
  #ends: ListedEnd[] = [];
  #lastSeq = 0;
  /** Ends up to this number are taken note of, also those that are to come. */
  #notedSeq = 0;
  #fence = 0;
  /** End of the lease, on the clock of this life, in ms. */
  #leaseUntil = 0;
  /** Highest run that has been stopped or has ended, by task. */
  readonly #highestOver = new Map<string, number>();
  readonly #waiting = new Set<() => void>();
  #timer: NodeJS.Timeout | undefined;
  #isOver = false;

  /** `clockRate` is the speed of its clock; 1 is exact, less is slow. */
  constructor(
    private readonly identity: EndpointIdentity,
    private readonly clockRate: number,
    private readonly deps: LifeDependencies,
  ) {
    this.#startedAt = deps.clock.now;
  }

  /** Listens on a free loopback port; returns the address. */
  listen(): Promise<string> {
    return this.#server.listen();
  }

  /** Ends the life with all that it runs, as a crash does. */
  terminate(): void {
    const { now } = this.deps.clock;
    this.#advance();
    this.#isOver = true;
    clearTimeout(this.#timer);
    for (const { seen } of this.#active.values()) {
      seen.endedAt = now;
      seen.end = "gone";
    }
    this.#active.clear();
    for (const wake of [...this.#waiting]) wake();
    this.#server.close();
  }

  /** Time on the clock of this life, in whole ms. */
  get #clockMs(): number {
    return Math.floor((this.deps.clock.now - this.#startedAt) * this.clockRate);
  }

  /** Time of the play at which the lease ends, in ms. */
  get #leaseEndsAt(): number {
    return this.#startedAt + this.#leaseUntil / this.clockRate;
  }

  async #serve({ method, path, headers, body }: Call): Promise<Reply> {
    if (path === "/health") return { status: 200 };
    if (this.#isOver) return { status: 503 };
    const intended = headers["expect-instance"];
    if (intended !== undefined && intended !== this.identity.id) {
      return { status: 421 };
    }
    this.#advance();
    switch (`${method} ${path}`) {
      case "POST /-/run-start":
        return this.#start(body);
      case "POST /-/run-stop":
        return this.#stop(body);
      case "POST /-/hold":
        return await this.#hold(body);
      case "POST /-/pace":
        return this.#answer(200);
      default:
        return { status: 404 };
    }
  }

  #start(body: unknown): Reply {
    const parsed = v.safeParse(startSchema, body);
    if (!parsed.success) return this.#answer(400);
    const order = parsed.output;
    if (this.#isFenced(order.fence)) return this.#reject("fence");
    if (order.deadlineMs <= this.#clockMs) return this.#reject("late");
    const present = this.#active.get(order.task)?.seen.run;
    const work = this.deps.findWork(order.task, order.run);
    if (work === undefined) return this.#answer(400);
    this.#extendLease(order.deadlineMs);
    if (present === order.run) return this.#answer(200);
    const highest = this.#highestOver.get(order.task) ?? 0;
    if (order.run <= Math.max(highest, present ?? 0)) {
      return this.#reject("old");
    }
    if (present !== undefined || !this.#hasRoom(work)) {
      return this.#reject("room");
    }
    this.#begin(order, work);
    return this.#answer(200);
  }

  #begin({ task, run, fence }: Start, work: TaskWork): void {
    const { id, zone } = this.identity;
    const startedAt = this.deps.clock.now;
    const [job] = task.split(".");
    const seen: SeenRun = {
      task,
      job,
      run,
      endpoint: id,
      zone,
      life: this.born,
      fence,
      startedAt,
    };
    this.deps.record.addRun(seen);
    const endsAt = startedAt + (work.durationMs ?? Infinity);
    const end = work.fails ? "failed" : "done";
    this.#active.set(task, { seen, work, endsAt, end });
    this.#schedule();
  }

  #stop(body: unknown): Reply {
    const parsed = v.safeParse(stopSchema, body);
    if (!parsed.success) return this.#answer(400);
    const { task, run, fence } = parsed.output;
    if (this.#isFenced(fence)) return this.#reject("fence");
    this.#noteOver(task, run);
    const active = this.#active.get(task);
    if (active?.seen.run === run && active.end !== "stopped") {
      active.endsAt = this.deps.clock.now + stopTimeoutMs * stopShare;
      active.end = "stopped";
      this.#schedule();
    }
    return this.#answer(200);
  }

  async #hold(body: unknown): Promise<Reply> {
    const parsed = v.safeParse(holdSchema, body);
    if (!parsed.success) return this.#answer(400);
    const { fence, ackSeq, deadlineMs, waitMs } = parsed.output;
    if (this.#isFenced(fence)) return this.#reject("fence");
    if (deadlineMs !== undefined) this.#extendLease(deadlineMs);
    this.#forgetEnds(ackSeq);
    if (this.#ends.length === 0 && waitMs > 0) await this.#nextEnd(waitMs);
    this.#advance();
    return this.#answer(200, {
      born: this.born,
      running: [...this.#active.values()].map((run) => this.#toRow(run)),
      finished: this.#ends.slice(0, maxListedEnds).map(({ seq, seen }) => [
        seq,
        seen.task,
        seen.run,
        seen.end,
        "",
      ]),
    });
  }

  /** The row of a run in the lists. */
  #toRow({ seen, work, endsAt }: ActiveRun): readonly unknown[] {
    const ranMs = this.deps.clock.now - seen.startedAt;
    const share = work.durationMs === undefined
      ? Math.min(1, ranMs / startupMs)
      : Math.min(0.99, ranMs / (endsAt - seen.startedAt));
    return [seen.task, seen.run, "", Math.floor(share * 100), work.needs.cpu];
  }

  /** Forgets the ends that are taken note of. */
  #forgetEnds(ackSeq: number): void {
    this.#notedSeq = Math.max(this.#notedSeq, ackSeq);
    const { now } = this.deps.clock;
    for (const { seq, seen, hasLapsed } of this.#ends) {
      if (seq <= ackSeq && !hasLapsed) seen.notedAt = now;
    }
    this.#ends = this.#ends.filter(({ seq }) => seq > ackSeq);
  }

  #nextEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.min(waitMs, maxWaitMs));
      this.#waiting.add(wake);
    });
  }

  /** Whether a fence number is too low; keeps the highest. */
  #isFenced(fence: number): boolean {
    if (fence < this.#fence) return true;
    this.#fence = fence;
    return false;
  }

  #hasRoom({ needs }: TaskWork): boolean {
    let { cpu, memMb } = this.identity.capacity;
    for (const { work } of this.#active.values()) {
      cpu -= work.needs.cpu;
      memMb -= work.needs.memMb;
    }
    return needs.cpu <= cpu && needs.memMb <= memMb;
  }

  /** Extends the lease up to a time of this clock, at most by the longest. */
  #extendLease(deadlineMs: number): void {
    const granted = Math.min(deadlineMs, this.#clockMs + maxHoldMs);
    this.#leaseUntil = Math.max(this.#leaseUntil, granted);
    this.#schedule();
  }

  #noteOver(task: string, run: number): void {
    const highest = this.#highestOver.get(task) ?? 0;
    this.#highestOver.set(task, Math.max(highest, run));
  }

  /**
   * Ends what has ended until now, at the time at which it ended: timers may
   * fire late.
   */
  #advance(): void {
    if (this.#isOver) return;
    const { now } = this.deps.clock;
    const leaseEndsAt = this.#leaseEndsAt;
    const due = [...this.#active.values()]
      .filter((run) => Math.min(run.endsAt, leaseEndsAt) <= now)
      .sort((a, b) => a.endsAt - b.endsAt);
    for (const run of due) {
      const isLapsed = leaseEndsAt < run.endsAt;
      if (isLapsed) this.#end(run, leaseEndsAt, "lapsed");
      else this.#end(run, run.endsAt, run.end);
    }
    if (leaseEndsAt <= now) {
      for (const end of this.#ends) end.hasLapsed = true;
    }
    if (due.length > 0) { for (const wake of [...this.#waiting]) wake(); }
  }

  #end({ seen }: ActiveRun, at: number, end: RunEnd): void {
    this.#active.delete(seen.task);
    this.#noteOver(seen.task, seen.run);
    seen.endedAt = at;
    seen.end = end;
    this.#lastSeq++;
    if (this.#lastSeq <= this.#notedSeq) seen.notedAt = at;
    else this.#ends.push({ seq: this.#lastSeq, seen, hasLapsed: false });
  }

  /** Sets the timer for the next end of a run. */
  #schedule(): void {
    clearTimeout(this.#timer);
    if (this.#isOver || this.#active.size === 0) return;
    const ends = [...this.#active.values()].map(({ endsAt }) => endsAt);
    const next = Math.min(this.#leaseEndsAt, ...ends);
    this.#timer = setTimeout(() => {
      this.#advance();
      this.#schedule();
    }, Math.max(1, Math.ceil(next - this.deps.clock.now)));
  }

  #answer(status: number, body: object = {}): Reply {
    return { status, body: { clockMs: this.#clockMs, ...body } };
  }

  #reject(reason: string): Reply {
    return this.#answer(409, { reason });
  }
}
