/**
 * What a shard's owner knows of one life of one endpoint: its clock, the
 * lease, the runs that may be under way there, and what its lists say of
 * them. It sends nothing itself.
 */
import type { Resources, StepSpec, TaskRef } from "../batch/index.ts";
import type {
  EndedTask,
  EndpointLists,
  RunningTask,
  TaskEndpoint,
} from "../endpoint/index.ts";
import { addResources, roomOf, subtractResources } from "./place.ts";
import { noSuspicion, type Suspicion } from "./suspicion.ts";

/**
 * Lease that each order asks for, in ms of the endpoint's clock. It outlasts
 * a change of owner (a member's lease and one read of the members).
 */
export const taskLeaseMs = 5_000;

/** Most by which an endpoint's clock runs slow, as a share. */
export const maxClockDrift = 0.02;

/** Longest time that an endpoint takes to stop a run, in ms. */
const maxStopMs = 1_000;

/** Allowance for the delivery of an answer when a lease's end is bounded. */
export const answerDeliveryMs = 100;

/**
 * Phases of a run.
 *
 * `intended`: its intent is not yet committed, and no order was sent.
 * `starting`: the order is on its way. `running`: the endpoint has confirmed
 * it. `doubtful`: whether it runs is not known. `stopping`: a stop is on its
 * way or was confirmed.
 */
export type RunPhase =
  | "intended"
  | "starting"
  | "running"
  | "doubtful"
  | "stopping";

/** A run that may be under way at an endpoint. */
export interface Run {
  readonly name: string;
  readonly job: string;
  readonly ref: TaskRef;
  readonly run: number;
  readonly step: StepSpec;
  /** What the task is started with. */
  readonly payload: string;
  phase: RunPhase;
  /** Steady time of the last change of the phase. */
  changedAt: number;
  /**
   * Steady time at which its start was sent; undefined for a run that an
   * earlier owner started or that resumed from a checkpoint.
   */
  begunAt: number | undefined;
  /** Steady time at which a stop was confirmed. */
  stoppedAt: number | undefined;
  percent: number;
  /** Steady time at which its start was sent or its percentage last changed. */
  progressedAt: number;
  load: number | undefined;
  /** Share of its work that the run is allowed, 0 to 100. */
  pace: number;
  checkpoint: string;
  /** Ticket that its start carries; empty where none is asked for. */
  readonly ticket: string;
}

/** What the lists of an endpoint call for. */
export interface ListComparison {
  /** Runs whose end is new, in the order of their numbers. */
  readonly ended: readonly EndedTask[];
  /** Runs that are listed for the first time. */
  readonly confirmed: readonly Run[];
  /** Runs that are proved not to be under way and have no end. */
  readonly absent: readonly Run[];
  /** Runs whose state only a stop can settle. */
  readonly unresolved: readonly Run[];
  /** Runs that nobody here asked for. */
  readonly foreign: readonly RunningTask[];
}

const noResources: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

/**
 * Processor that an endpoint has for work that ends, in thousandths of a core;
 * 0 while it takes no tasks.
 */
export function roomForJobs(session: EndpointSession): number {
  if (!session.isOpen) return 0;
  let cpuMillis = session.endpoint.capacity.cpuMillis;
  for (const { step } of session.runs.values()) {
    if (step.longRunning) cpuMillis -= roomOf(step).cpuMillis;
  }
  return Math.max(0, cpuMillis);
}

/** One life of one endpoint. */
export class EndpointSession {
  readonly runs = new Map<string, Run>();
  /** Steady time since which it takes orders of this term; see `fenced`. */
  fencedAt: number | undefined;
  /** Highest number of an end that is recorded in the store. */
  recordedEndSeq = 0;
  /** Highest number of an end that has been taken from the lists. */
  lastSeenEndSeq = 0;
  suspicion: Suspicion = noSuspicion;
  /** Steady time until which the endpoint had no room. */
  fullUntil = 0;
  /** Whether the life is over; nothing more is sent to it. */
  closed = false;
  /** Steady time since which holds go without an answer. */
  #unansweredSince: number | undefined;
  /** Steady time at which the hold was sent that was answered last. */
  #answeredHoldSentAt = -Infinity;
  /** Steady time of that answer. */
  #lastAnswerAt = -Infinity;
  #used: Resources = noResources;
  #clockMs: number | undefined;
  #clockReadAt = 0;
  #leaseEndsBy: number;

  /** `leaseEndsBy`: latest end of a lease that an earlier owner gave. */
  constructor(public endpoint: TaskEndpoint, leaseEndsBy: number) {
    this.#leaseEndsBy = leaseEndsBy;
  }

  /** Whether it takes orders of this term, and none of an earlier one. */
  get fenced(): boolean {
    return this.fencedAt !== undefined;
  }

  /**
   * Whether it has told of its tasks after every stop of an earlier owner was
   * over; until then it may list tasks that are being stopped as at work.
   */
  get isClearOfEarlierStops(): boolean {
    const { fencedAt } = this;
    return fencedAt !== undefined &&
      this.#answeredHoldSentAt - fencedAt >= maxStopMs;
  }

  get used(): Resources {
    return this.#used;
  }

  /** Steady time after which nothing can run there unless held again. */
  get leaseEndsBy(): number {
    return this.#leaseEndsBy;
  }

  /** Whether the last hold went without an answer. */
  get silent(): boolean {
    return this.#unansweredSince !== undefined;
  }

  /** Whether holds have gone without an answer for `ms`. */
  isSilentFor(ms: number, now: number): boolean {
    return this.#unansweredSince !== undefined &&
      now - this.#unansweredSince >= ms;
  }

  /** Notes that a hold went without an answer at the steady time `now`. */
  noteSilence(now: number): void {
    this.#unansweredSince ??= now;
  }

  /** Notes that a hold sent at the steady time `sentAt` was answered now. */
  recordAnswer(sentAt: number, now: number): void {
    this.#unansweredSince = undefined;
    this.#answeredHoldSentAt = Math.max(this.#answeredHoldSentAt, sentAt);
    this.#lastAnswerAt = now;
  }

  /** Steady time at which the endpoint told last. */
  get toldAt(): number {
    return this.#lastAnswerAt;
  }

  /** Time since the last moment of which the endpoint has told, in ms. */
  newsAge(now: number): number {
    return now - this.#answeredHoldSentAt;
  }

  /** Whether tasks may be placed there. */
  get isOpen(): boolean {
    return !this.closed && this.fenced && !this.silent &&
      !this.endpoint.draining &&
      this.#clockMs !== undefined;
  }

  /** Adds a run and takes its room. */
  add(run: Run): void {
    this.runs.set(run.name, run);
    this.#used = addResources(this.#used, roomOf(run.step));
  }

  /** Forgets a run and frees its room. */
  remove(run: Run): void {
    if (this.runs.get(run.name) !== run) return;
    this.runs.delete(run.name);
    this.#used = subtractResources(this.#used, roomOf(run.step));
  }

  /** The run of a task, when it has that number. */
  find(name: string, runNumber: number): Run | undefined {
    const run = this.runs.get(name);
    return run?.run === runNumber ? run : undefined;
  }

  /**
   * The lease to ask for at the steady time `now`, in ms of the endpoint's
   * clock; undefined before its clock is known.
   */
  nextLeaseUntil(now: number): number | undefined {
    if (this.#clockMs === undefined) return undefined;
    const clock = this.#clockMs + (now - this.#clockReadAt);
    const until = Math.floor(clock + taskLeaseMs);
    const maxRemainingMs = (until - this.#clockMs) * (1 + maxClockDrift);
    const endsBy = this.#clockReadAt + maxRemainingMs + answerDeliveryMs;
    this.#leaseEndsBy = Math.max(this.#leaseEndsBy, endsBy);
    return until;
  }

  /** Notes the endpoint's clock as of an answer received at `now`. */
  readClock(clockMs: number, now: number): void {
    this.#clockMs = clockMs;
    this.#clockReadAt = now;
  }

  /** Compares lists that were asked for at the steady time `sentAt`. */
  compareLists(
    lists: EndpointLists,
    sentAt: number,
    now: number,
  ): ListComparison {
    const running = new Map(lists.running.map((r) => [r.task, r]));
    const ended = lists.ended.filter((e) => e.seq > this.lastSeenEndSeq);
    this.lastSeenEndSeq = Math.max(this.lastSeenEndSeq, ended.at(-1)?.seq ?? 0);
    const endedRuns = new Set(ended.map((e) => `${e.task}#${e.run}`));
    const confirmed: Run[] = [];
    const absent: Run[] = [];
    const unresolved: Run[] = [];
    for (const run of this.runs.values()) {
      const listed = running.get(run.name);
      if (listed?.run === run.run) {
        if (this.#updateListedRun(run, listed, now)) confirmed.push(run);
      } else if (endedRuns.has(`${run.name}#${run.run}`)) continue;
      else if (this.#isAbsent(run, sentAt)) absent.push(run);
      else if (this.#isUnresolved(run, sentAt)) unresolved.push(run);
    }
    const foreign = lists.running.filter((r) =>
      this.find(r.task, r.run) === undefined
    );
    return { ended, confirmed, absent, unresolved: unresolved, foreign };
  }

  /** Notes what the lists say of a run; tells whether that confirms it. */
  #updateListedRun(run: Run, listed: RunningTask, now: number): boolean {
    const confirms = run.phase === "doubtful" || run.phase === "starting";
    if (confirms) {
      run.phase = "running";
      run.changedAt = now;
    }
    if (listed.percent !== run.percent) run.progressedAt = now;
    run.percent = listed.percent;
    run.load = listed.load;
    if (listed.checkpoint !== "") run.checkpoint = listed.checkpoint;
    return confirms;
  }

  #isAbsent(run: Run, sentAt: number): boolean {
    return run.stoppedAt !== undefined && run.stoppedAt < sentAt;
  }

  #isUnresolved(run: Run, sentAt: number): boolean {
    if (run.changedAt >= sentAt) return false;
    return run.phase === "doubtful" || run.phase === "running";
  }
}
