/**
 * Test oracle for batch jobs. It checks the guarantees that users rely on, and
 * only from what endpoints, callers and the host provider observe; it shares no
 * state with the code under test.
 *
 * A task's name is `job.occurrence.step.index`. Each violation begins with the
 * code of its rule:
 *
 * - `AVAIL`: a stop or a host order made more tasks of a step unavailable than
 *   its `maxUnavailable` allows.
 * - `BUDGET`: a task started again after all its attempts had failed.
 * - `LOST`: an accepted job is unknown, unfinished, or failed without cause, or
 *   a long-running task does not run in the end.
 * - `MIXED`: a job is shown as completed although a task is not done.
 * - `ONE`: a host order with an older fencing token followed a newer one.
 * - `ORDER`: a task started before a task that it depends on was done.
 * - `QUOTA`: a start exceeded the limit of the job's workspace.
 * - `REFUSED`: a job ran although its submission was rejected.
 * - `TWICE`: a task ran twice at the same time, or again after it was done.
 * - `UNASKED`: a task ran that no caller submitted, or after its cancellation.
 */
import { noResources } from "../src/batch/index.ts";
import {
  finalViolations,
  type JobRecord,
  type RunRecord,
  type SubmittedJob,
} from "./final_checks.ts";
import { QuotaCheck } from "./quota_check.ts";

export type { RunRecord, SubmittedJob } from "./final_checks.ts";

/**
 * Time for which tasks may still start after a confirmed cancellation, in ms.
 */
const cancellationGraceMs = 3_000;

/**
 * Time after which a scheduler must have noticed that a task is unavailable, in
 * ms, whatever the cause.
 */
const detectionMs = 4_500;

/**
 * Counts of observed events, so that tests can check what took place: starts,
 * ends of runs by kind, successful cancellations, and orders about hosts.
 */
export interface EventCounts {
  starts: number;
  done: number;
  failed: number;
  lost: number;
  lapsed: number;
  cancelled: number;
  hostOrders: number;
}

/**
 * Records observations and reports violated rules in `violations`. Rules about
 * single events are checked at once, the others by `checkFinalState`.
 */
export class BatchOracle {
  /** Violations found so far: rule, time in s, and what happened. */
  readonly violations: string[] = [];
  readonly counts: EventCounts = {
    starts: 0,
    done: 0,
    failed: 0,
    lost: 0,
    lapsed: 0,
    cancelled: 0,
    hostOrders: 0,
  };
  readonly #jobs = new Map<string, JobRecord>();
  /** Runs by task, in order of their start. */
  readonly #runs = new Map<string, RunRecord[]>();
  /** Highest fencing token of an order about each host. */
  readonly #hostTerms = new Map<string, number>();

  /**
   * `now` gives the time in ms; `isAvailable` tells whether a long-running task
   * is available on any host now.
   */
  constructor(
    private readonly now: () => number,
    private readonly isAvailable: (task: string) => boolean,
    /** What workspaces have running, and their limits. */
    readonly quota: QuotaCheck = new QuotaCheck(now),
  ) {}

  /** Records that a caller sent a job; later calls for it change nothing. */
  jobSubmitted(job: SubmittedJob): void {
    if (this.#jobs.has(job.id)) return;
    this.#jobs.set(job.id, {
      job,
      submittedAt: this.now(),
      isAccepted: false,
      isRejected: false,
      hasUnclearAnswer: false,
      isCancelSent: false,
    });
  }

  /** Records the answer to a submission; `unclear` stands for none. */
  submissionAnswered(
    id: string,
    answer: "accepted" | "rejected" | "unclear",
  ): void {
    const record = this.#jobs.get(id);
    if (record === undefined) return;
    if (answer === "accepted") record.isAccepted = true;
    if (answer === "rejected") record.isRejected = true;
    if (answer === "unclear") record.hasUnclearAnswer = true;
  }

  /** Records that a cancellation was sent. */
  cancellationSent(id: string): void {
    const record = this.#jobs.get(id);
    if (record !== undefined) record.isCancelSent = true;
  }

  /** Records that a cancellation was answered with success. */
  cancellationConfirmed(id: string): void {
    const record = this.#jobs.get(id);
    if (record === undefined || record.cancelledAt !== undefined) return;
    record.cancelledAt = this.now();
    this.counts.cancelled++;
  }

  /** Records that an endpoint started a run. */
  runStarted(
    task: string,
    run: number,
    endpoint: string,
    payload: string,
  ): void {
    this.counts.starts++;
    const [id, , step] = task.split(".");
    const record = this.#jobs.get(id);
    if (record === undefined || record.job.payload !== payload) {
      this.report("UNASKED", `${task} run ${run} belongs to no submitted job`);
      return;
    }
    const runs = this.#runs.get(task) ?? [];
    this.#runs.set(task, runs);
    for (const other of runs.filter((r) => r.endedAt === undefined)) {
      this.report(
        "TWICE",
        `${task} run ${run} on ${endpoint} started during run ${other.run} ` +
          `on ${other.endpoint}`,
      );
    }
    this.#checkDependencies(record.job, task, Number(step));
    this.#checkQuota(record.job, task, Number(step));
    const { cancelledAt } = record;
    if (
      cancelledAt !== undefined &&
      this.now() > cancelledAt + cancellationGraceMs
    ) {
      this.report(
        "UNASKED",
        `${task} run ${run} started after its cancellation`,
      );
    }
    runs.push({
      task,
      run,
      endpoint,
      startedAt: this.now(),
      isEndRecorded: false,
    });
  }

  /**
   * Records that an endpoint began to stop an available task. A delayed stop
   * (`isLate`) is not checked against `maxUnavailable`, since other tasks may
   * have become unavailable after it was sent.
   */
  runStopping(
    task: string,
    run: number,
    endpoint: string,
    isLate: boolean,
  ): void {
    if (!isLate) this.#checkStop(task);
    const record = this.#findActiveRun(task, run, endpoint);
    if (record !== undefined) record.down = { at: this.now(), byOrder: true };
  }

  /**
   * Records that a run ended, or its endpoint crashed. `wasAvailable` says
   * whether the task was available until then.
   */
  runEnded(
    task: string,
    run: number,
    endpoint: string,
    end: string,
    wasAvailable: boolean,
  ): void {
    const record = this.#findActiveRun(task, run, endpoint);
    if (record === undefined) return;
    record.endedAt = this.now();
    this.#countEnd(task);
    if (wasAvailable) record.down ??= { at: this.now(), byOrder: false };
    record.end = end;
    if (end === "done") this.counts.done++;
    if (end === "failed") this.counts.failed++;
    if (end === "lost") this.counts.lost++;
    if (end === "lapsed") this.counts.lapsed++;
  }

  /** Records that an endpoint learned that the end of a run is stored. */
  endRecorded(task: string, run: number, endpoint: string): void {
    const record = this.#runs.get(task)?.find((r) =>
      r.run === run && r.endpoint === endpoint
    );
    if (record !== undefined) record.isEndRecorded = true;
  }

  /** Records that the provider received an order about a host. */
  hostOrderReceived(host: string, term: number): void {
    const highestTerm = this.#hostTerms.get(host) ?? 0;
    if (term < highestTerm) {
      this.report(
        "ONE",
        `${host}: order of term ${term} after term ${highestTerm}`,
      );
    }
    this.#hostTerms.set(host, Math.max(highestTerm, term));
  }

  /**
   * Records that the provider carried out an order that took a host down;
   * `endedTasks` are the available tasks that ended with it.
   */
  hostOrderCarriedOut(endedTasks: readonly string[]): void {
    this.counts.hostOrders++;
    for (const task of endedTasks) {
      this.#checkHostOrder(task);
      const record = this.#runs.get(task)?.at(-1);
      if (record !== undefined) record.down = { at: this.now(), byOrder: true };
    }
  }

  /** The runs of a task, in the order in which endpoints started them. */
  runsOf(task: string): readonly RunRecord[] {
    return this.#runs.get(task) ?? [];
  }

  /** Ids of the accepted jobs whose cancellation no caller has sent. */
  openJobs(): readonly string[] {
    return [...this.#jobs.values()]
      .filter(({ isAccepted, isCancelSent }) => isAccepted && !isCancelSent)
      .map(({ job }) => job.id);
  }

  /** Reports that a rule was broken now. */
  report(rule: string, text: string): void {
    const seconds = (this.now() / 1_000).toFixed(3);
    this.violations.push(`${rule} at ${seconds} s: ${text}`);
  }

  /**
   * Checks the state after all work has ended. `phases` gives the phase of each
   * job as reported to a caller; undefined for a job that is not known.
   */
  checkFinalState(phases: ReadonlyMap<string, string | undefined>): void {
    for (const [id, record] of this.#jobs) {
      const found = finalViolations(record, phases.get(id), this.#runs);
      for (const { rule, text } of found) this.report(rule, text);
    }
  }

  /** Checks that all tasks of the steps that `step` depends on are done. */
  #checkDependencies(job: SubmittedJob, task: string, step: number): void {
    const [id, occurrence] = task.split(".");
    for (const predecessor of job.steps[step].after) {
      for (let i = 0; i < job.steps[predecessor].count; i++) {
        const predecessorTask = `${id}.${occurrence}.${predecessor}.${i}`;
        if (this.#isDone(predecessorTask)) continue;
        this.report(
          "ORDER",
          `${task} started before ${predecessorTask} was done`,
        );
      }
    }
  }

  /** Counts a start for the limit of the job's workspace, and checks it. */
  #checkQuota(
    { workspace, steps }: SubmittedJob,
    task: string,
    step: number,
  ): void {
    if (workspace === undefined) return;
    const demand = steps[step].demand ?? noResources;
    const broken = this.quota.started(workspace, demand);
    if (broken !== undefined) this.report("QUOTA", `${task}: ${broken}`);
  }

  /** Counts the end of a run for the limit of the job's workspace. */
  #countEnd(task: string): void {
    const [id, , step] = task.split(".");
    const job = this.#jobs.get(id)?.job;
    if (job?.workspace === undefined) return;
    const { demand } = job.steps[Number(step)];
    this.quota.ended(job.workspace, demand ?? noResources);
  }

  /**
   * Checks `maxUnavailable` for a host order. Every other task that is
   * unavailable counts, even if the scheduler cannot have noticed it yet.
   */
  #checkHostOrder(task: string): void {
    this.#checkUnavailability(task, (other) => !this.isAvailable(other));
  }

  /**
   * Checks `maxUnavailable` for a stop. Another task counts only once the
   * scheduler must know that it is unavailable.
   */
  #checkStop(task: string): void {
    this.#checkUnavailability(
      task,
      (other) => this.#isDetectablyUnavailable(other),
    );
  }

  /**
   * Reports `task` if too many other tasks of its step are unavailable. Jobs
   * whose cancellation was sent are exempt.
   */
  #checkUnavailability(
    task: string,
    isUnavailable: (task: string) => boolean,
  ): void {
    const [id, occurrence, step, index] = task.split(".");
    const record = this.#jobs.get(id);
    const spec = record?.job.steps[Number(step)];
    if (spec?.maxUnavailable === undefined || record?.isCancelSent) return;
    let unavailableCount = 0;
    for (let i = 0; i < spec.count; i++) {
      if (i === Number(index)) continue;
      if (isUnavailable(`${id}.${occurrence}.${step}.${i}`)) unavailableCount++;
    }
    if (unavailableCount >= spec.maxUnavailable) {
      this.report(
        "AVAIL",
        `${task} ended with ${unavailableCount} others unavailable`,
      );
    }
  }

  /**
   * Whether a task is unavailable because of an order, or has been unavailable
   * for at least `detectionMs`.
   */
  #isDetectablyUnavailable(task: string): boolean {
    if (this.isAvailable(task)) return false;
    const [id] = task.split(".");
    const down = this.#runs.get(task)?.findLast((r) => r.down !== undefined)
      ?.down;
    if (down?.byOrder) return true;
    const since = down?.at ?? this.#jobs.get(id)?.submittedAt ?? Infinity;
    return this.now() - since >= detectionMs;
  }

  #findActiveRun(
    task: string,
    run: number,
    endpoint: string,
  ): RunRecord | undefined {
    return this.#runs.get(task)?.find((r) =>
      r.run === run && r.endpoint === endpoint && r.endedAt === undefined
    );
  }

  #isDone(task: string): boolean {
    return this.#runs.get(task)?.some((r) => r.end === "done") ?? false;
  }
}
