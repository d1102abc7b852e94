/**
 * State that a shard's owner keeps about one incarnation of an endpoint: its
 * clock, its lease, and the runs that may be in progress there, as known from
 * the endpoint's task lists. This module sends nothing itself.
 *
 * Times are of the owner's monotonic clock, in ms, unless stated otherwise.
 */
import {
  addResources,
  noResources,
  reservedResources,
  type Resources,
  subtractResources,
} from "../batch/index.ts";
import type {
  EndedTask,
  EndpointLists,
  RunningTask,
  TaskEndpoint,
} from "../endpoint/index.ts";
import { DiscardGate } from "./discard_gate.ts";
import { EndpointLease, type LeaseBound, noLease } from "./endpoint_lease.ts";
import { type FailureHistory, noFailures } from "./failure_history.ts";
import type { Run } from "./run.ts";

/** Maximum time that an endpoint takes to stop a run, in ms. */
const maxStopMs = 1_000;

/** Differences between an endpoint's task lists and the tracked runs. */
export interface ListComparison {
  /** Ends that were not seen before, by ascending sequence number. */
  readonly ended: readonly EndedTask[];
  /** Runs that are listed as running for the first time. */
  readonly confirmed: readonly Run[];
  /**
   * Runs that were stopped, are not running any more, and have no listed end.
   */
  readonly absent: readonly Run[];
  /**
   * Runs that should be listed but are not; only a stop reveals their state.
   */
  readonly unresolved: readonly Run[];
  /** Running tasks that this session does not track. */
  readonly foreign: readonly RunningTask[];
}

/**
 * Returns how much of the CPU can be used, in thousandths of a core, by tasks
 * that need `memoryPerCpu` MB of memory for each thousandth of a core.
 */
function usableCpu(
  { cpuMillis, memoryMb }: Resources,
  memoryPerCpu: number,
): number {
  const cpuForMemory = memoryPerCpu > 0 ? memoryMb / memoryPerCpu : Infinity;
  return Math.max(0, Math.min(cpuMillis, cpuForMemory));
}

/**
 * CPU capacity that an endpoint has for tasks other than long-running ones, in
 * thousandths of a core; 0 while no tasks may be placed there.
 * @param memoryPerCpu Memory of the tasks for each thousandth of a core, in MB.
 */
export function cpuForJobs(
  session: EndpointSession,
  memoryPerCpu: number,
): number {
  if (!session.isOpen) return 0;
  let left = session.endpoint.capacity;
  for (const { step } of session.runs.values()) {
    if (step.longRunning) {
      left = subtractResources(left, reservedResources(step));
    }
  }
  return usableCpu(left, memoryPerCpu);
}

/**
 * CPU capacity of an endpoint that no run uses, in thousandths of a core; 0
 * while no tasks may be placed there.
 * @param memoryPerCpu Memory of the tasks for each thousandth of a core, in MB.
 */
export function freeCpu(
  { isOpen, endpoint, used }: EndpointSession,
  memoryPerCpu: number,
): number {
  if (!isOpen) return 0;
  return usableCpu(subtractResources(endpoint.capacity, used), memoryPerCpu);
}

/**
 * State of one incarnation of an endpoint; it ends when the endpoint restarts.
 */
export class EndpointSession {
  /** The endpoint's clock, and the end of its lease. */
  readonly lease: EndpointLease;
  /** The tracked runs, by the name of their task. */
  readonly runs = new Map<string, Run>();
  /**
   * Time since which the endpoint accepts no orders of earlier terms; undefined
   * until it has confirmed this term.
   */
  fencedAt: number | undefined;
  /** Highest sequence number of an end that is committed to the store. */
  recordedEndSeq = 0;
  /** Highest sequence number up to which the endpoint has discarded its ends. */
  discardedEndSeq = 0;
  /** Highest sequence number of an end that has been read from the lists. */
  lastSeenEndSeq = 0;
  /** Keeps starts and discards apart. */
  readonly discardGate = new DiscardGate();
  /** Whether the endpoint may discard ends that nobody has read. */
  mayHideEnds = false;
  /** Failures since the last success, and the backoff that they cause. */
  failures: FailureHistory = noFailures;
  /** Time until which no task is placed here, after a rejected start. */
  noStartUntil = 0;
  /** Whether the session has ended; nothing more is sent for it. */
  closed = false;
  /** Whether the registration of its id names another incarnation. */
  isDisputed = false;
  /** Time since which holds have had no answer; undefined after an answer. */
  #unansweredSince: number | undefined;
  /** Time at which the latest hold that has been answered was sent. */
  #answeredHoldSentAt = -Infinity;
  /** Time of the last answer to a hold. */
  #lastAnswerAt = -Infinity;
  #used: Resources = noResources;
  /** @param inherited Bound of the leases that earlier owners granted. */
  constructor(public endpoint: TaskEndpoint, inherited: LeaseBound = noLease) {
    this.lease = new EndpointLease(inherited);
  }

  /**
   * Whether the endpoint accepts orders of this term, and none of earlier
   * terms.
   */
  get fenced(): boolean {
    return this.fencedAt !== undefined;
  }

  /**
   * Whether an answer was requested after all stops of earlier owners had
   * taken effect. Before that the endpoint may list tasks as running that are
   * being stopped.
   */
  get isClearOfEarlierStops(): boolean {
    const { fencedAt } = this;
    return fencedAt !== undefined &&
      this.#answeredHoldSentAt - fencedAt >= maxStopMs;
  }

  /** Resources of all tracked runs. */
  get used(): Resources {
    return this.#used;
  }

  /** Whether the last hold had no answer. */
  get silent(): boolean {
    return this.#unansweredSince !== undefined;
  }

  /** Time for which holds have had no answer, in ms; 0 after an answer. */
  silentMs(now: number): number {
    return now - (this.#unansweredSince ?? now);
  }

  /** Records that a hold had no answer. */
  recordNoAnswer(now: number): void {
    this.#unansweredSince ??= now;
  }

  /** Records the answer to a hold that was sent at `sentAt`. */
  recordAnswer(sentAt: number, now: number): void {
    this.#unansweredSince = undefined;
    this.#answeredHoldSentAt = Math.max(this.#answeredHoldSentAt, sentAt);
    this.#lastAnswerAt = now;
  }

  /** Time of the last answer to a hold. */
  get lastAnswerAt(): number {
    return this.#lastAnswerAt;
  }

  /**
   * Upper bound on the age of the last task lists, in ms: the time since the
   * hold was sent that they answer.
   */
  listsAge(now: number): number {
    return now - this.#answeredHoldSentAt;
  }

  /** Whether the endpoint has answered a hold as this incarnation. */
  get hasAnswered(): boolean {
    return this.#lastAnswerAt > -Infinity;
  }

  /**
   * Takes over a new registration of this incarnation. The address of an
   * incarnation does not change, so one that has answered keeps its own.
   */
  updateRegistration(endpoint: TaskEndpoint): void {
    this.isDisputed = false;
    const address = this.hasAnswered ? this.endpoint.address : endpoint.address;
    this.endpoint = { ...endpoint, address };
  }

  /** Whether tasks may be placed on this endpoint. */
  get isOpen(): boolean {
    return !this.closed && this.fenced && !this.silent && !this.isDisputed &&
      !this.mayHideEnds && !this.endpoint.draining &&
      this.lease.isClockKnown;
  }

  /** Whether a run may be started there at the time `now`. */
  mayStartRuns(now: number): boolean {
    return this.isOpen && !this.discardGate.isSlow && this.noStartUntil <= now;
  }

  /** Whether ends are recorded that the endpoint has not discarded. */
  get isDiscardDue(): boolean {
    return this.recordedEndSeq > this.discardedEndSeq;
  }

  /**
   * Whether the endpoint may be told now to discard its recorded ends. Another
   * incarnation, whose ends have the same numbers, must not get the order.
   */
  get mayDiscard(): boolean {
    return this.isDiscardDue && this.discardGate.mayDiscard && !this.silent &&
      !this.isDisputed && !this.lease.hasOtherClock;
  }

  /**
   * Whether it has runs of which only the end of a lease, or an answer that is
   * not there yet, shows what has become of them.
   */
  get hasUnsettledRuns(): boolean {
    const isInTouch = this.fenced && !this.silent && !this.isDisputed;
    return this.runs.size > 0 && !isInTouch;
  }

  /** Adds a run and reserves its resources. */
  add(run: Run): void {
    this.runs.set(run.name, run);
    this.#used = addResources(this.#used, reservedResources(run.step));
  }

  /** Removes a run and frees its resources. */
  remove(run: Run): void {
    if (this.runs.get(run.name) !== run) return;
    this.runs.delete(run.name);
    this.#used = subtractResources(this.#used, reservedResources(run.step));
  }

  /** The tracked run of a task, if it has the given run number. */
  find(name: string, runNumber: number): Run | undefined {
    const run = this.runs.get(name);
    return run?.run === runNumber ? run : undefined;
  }

  /**
   * Updates the tracked runs from lists that were requested at `sentAt`, and
   * returns what differs. Lists say nothing about changes after `sentAt`. While
   * further ends may follow, a run that is not listed may have ended, so none
   * counts as absent or unresolved.
   */
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
      else if (lists.hasMoreEnds) this.#forgetProgress(run, sentAt, now);
      else if (this.#isAbsent(run, sentAt)) absent.push(run);
      else if (this.#isUnresolved(run, sentAt)) unresolved.push(run);
    }
    const foreign = lists.running.filter((r) =>
      this.find(r.task, r.run) === undefined
    );
    return { ended, confirmed, absent, unresolved, foreign };
  }

  /**
   * Updates a run that is listed as running; returns whether that confirms it.
   */
  #updateListedRun(run: Run, listed: RunningTask, now: number): boolean {
    const confirms = run.phase === "doubtful" || run.phase === "starting";
    if (confirms) {
      run.phase = "running";
      run.phaseChangedAt = now;
    }
    run.isAcknowledged = true;
    if (listed.percent !== run.percent) run.progressedAt = now;
    run.percent = listed.percent;
    run.load = listed.load;
    if (listed.checkpoint !== "") run.checkpoint = listed.checkpoint;
    return confirms;
  }

  /** Marks the progress of a run that should be listed as not known. */
  #forgetProgress(run: Run, sentAt: number, now: number): void {
    if (run.phase !== "running" || run.phaseChangedAt >= sentAt) return;
    run.percent = -1;
    run.progressedAt = now;
  }

  /** Whether a stop of an unlisted run was confirmed before the request. */
  #isAbsent(run: Run, sentAt: number): boolean {
    return run.stoppedAt !== undefined && run.stoppedAt < sentAt;
  }

  /**
   * Whether an unlisted run should have been listed, so that only a stop
   * reveals its state. A run that changed after the request may be missing.
   */
  #isUnresolved(run: Run, sentAt: number): boolean {
    if (run.phaseChangedAt >= sentAt) return false;
    return run.phase === "doubtful" || run.phase === "running";
  }
}
