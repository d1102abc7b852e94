/**
 * Judges a run by the users' rules, from what endpoints, callers and the
 * provider of the hosts have seen. It shares no state with the product.
 */

/** Time after a cancellation's answer in which tasks may still start, in ms. */
const cancellationGraceMs = 3_000;

/** Time without work after which a task counts as away whatever the cause. */
const detectionMs = 4_500;

/** A job as the oracle knows it: what its caller sent. */
export interface SubmittedJob {
  readonly id: string;
  readonly payload: string;
  readonly maxAttempts: number;
  readonly steps: readonly SubmittedStep[];
}

/** A step as the oracle knows it. */
export interface SubmittedStep {
  readonly count: number;
  readonly after: readonly number[];
  readonly longRunning: boolean;
  readonly maxUnavailable?: number;
}

interface RunRecord {
  readonly task: string;
  readonly run: number;
  readonly endpoint: string;
  readonly startedAt: number;
  endedAt?: number;
  end?: string;
  /** When and why it was no longer at work; undefined before. */
  down?: { readonly at: number; readonly byOrder: boolean };
  /** Whether the end was recorded while the lease still held. */
  isEndRecorded: boolean;
}

interface JobRecord {
  readonly job: SubmittedJob;
  readonly submittedAt: number;
  isAccepted: boolean;
  isRejected: boolean;
  /** Whether some attempt ended without a clear answer. */
  hasUnclearAnswer: boolean;
  isCancelSent: boolean;
  cancelledAt?: number;
}

/** How often interesting things were seen. */
export interface EventCounts {
  starts: number;
  done: number;
  failed: number;
  lost: number;
  lapsed: number;
  cancelled: number;
  hostOrders: number;
}

/** The judge. */
export class BatchOracle {
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
  readonly #runs = new Map<string, RunRecord[]>();
  readonly #hostTerms = new Map<string, number>();

  /** `isAtWork`: whether a task is at work anywhere at this moment. */
  constructor(
    private readonly now: () => number,
    private readonly isAvailable: (task: string) => boolean,
  ) {}

  /** A caller sent a job. */
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

  /** A caller got an answer to a submission. */
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

  /** A cancellation was sent. */
  cancellationSent(id: string): void {
    const record = this.#jobs.get(id);
    if (record !== undefined) record.isCancelSent = true;
  }

  /** A cancellation was answered with success. */
  cancellationConfirmed(id: string): void {
    const record = this.#jobs.get(id);
    if (record === undefined || record.cancelledAt !== undefined) return;
    record.cancelledAt = this.now();
    this.counts.cancelled++;
  }

  /** An endpoint began a run. */
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
      this.#report("UNASKED", `${task} run ${run} was never asked for`);
      return;
    }
    const runs = this.#runs.get(task) ?? [];
    this.#runs.set(task, runs);
    if (runs.some((r) => r.endedAt === undefined)) {
      this.#report("TWICE", `${task} run ${run} beside another run`);
    }
    this.#checkDependencies(record.job, task, Number(step));
    const { cancelledAt } = record;
    if (
      cancelledAt !== undefined &&
      this.now() > cancelledAt + cancellationGraceMs
    ) {
      this.#report(
        "UNASKED",
        `${task} run ${run} after its cancellation`,
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

  /** A stop was carried out on a task at work; `isLate`: it was held up. */
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

  /** A run ended, or its endpoint did; `wasAtWork`: it was until then. */
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
    if (wasAvailable) record.down ??= { at: this.now(), byOrder: false };
    record.end = end;
    if (end === "done") this.counts.done++;
    if (end === "failed") this.counts.failed++;
    if (end === "lost") this.counts.lost++;
    if (end === "lapsed") this.counts.lapsed++;
  }

  /** An endpoint was told that an end is recorded. */
  endRecorded(task: string, run: number, endpoint: string): void {
    const record = this.#runs.get(task)?.find((r) =>
      r.run === run && r.endpoint === endpoint
    );
    if (record !== undefined) record.isEndRecorded = true;
  }

  /** An order about a host was carried out; `atWork` ended with it. */
  hostOrderCarriedOut(
    host: string,
    term: number,
    endedTasks: readonly string[],
  ): void {
    this.counts.hostOrders++;
    const highestTerm = this.#hostTerms.get(host) ?? 0;
    if (term < highestTerm) {
      this.#report("ONE", `${host}: term ${term} after ${highestTerm}`);
    }
    this.#hostTerms.set(host, Math.max(highestTerm, term));
    for (const task of endedTasks) {
      this.#checkHostOrder(task);
      const record = this.#runs.get(task)?.at(-1);
      if (record !== undefined) record.down = { at: this.now(), byOrder: true };
    }
  }

  /** Judges the whole run; `phases` are what callers were told at the end. */
  checkFinalState(phases: ReadonlyMap<string, string | undefined>): void {
    for (const [id, record] of this.#jobs) {
      const phase = phases.get(id);
      this.#checkRunCounts(record);
      if (!record.isAccepted) {
        this.#checkRejected(record);
        continue;
      }
      if (phase === undefined) this.#report("LOST", `${id} is not known`);
      else this.#checkPhase(record, phase);
    }
  }

  #checkDependencies(job: SubmittedJob, task: string, step: number): void {
    const [id, occurrence] = task.split(".");
    for (const predecessor of job.steps[step].after) {
      for (let i = 0; i < job.steps[predecessor].count; i++) {
        const predecessorTask = `${id}.${occurrence}.${predecessor}.${i}`;
        if (this.#isDone(predecessorTask)) continue;
        this.#report("ORDER", `${task} before ${predecessorTask}`);
      }
    }
  }

  /** A host order must leave alone what another task's absence needs. */
  #checkHostOrder(task: string): void {
    this.#checkUnavailability(task, (other) => !this.isAvailable(other));
  }

  /** Another task counts only once its absence could have been noticed. */
  #checkStop(task: string): void {
    this.#checkUnavailability(
      task,
      (other) => this.#isDetectablyUnavailable(other),
    );
  }

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
      this.#report(
        "AVAIL",
        `${task} ended with ${unavailableCount} others away`,
      );
    }
  }

  /** Away by an order, or for `noticeMs` for any cause. */
  #isDetectablyUnavailable(task: string): boolean {
    if (this.isAvailable(task)) return false;
    const [id] = task.split(".");
    const down = this.#runs.get(task)?.findLast((r) => r.down !== undefined)
      ?.down;
    if (down?.byOrder) return true;
    const since = down?.at ?? this.#jobs.get(id)?.submittedAt ??
      Infinity;
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

  #checkRunCounts({ job }: JobRecord): void {
    for (const [task, runs] of this.#runs) {
      if (!task.startsWith(`${job.id}.`)) continue;
      const step = job.steps[Number(task.split(".")[2])];
      if (step.longRunning) continue;
      const doneRun = runs.find((r) => r.end === "done" && r.isEndRecorded);
      const lastStartedAt = Math.max(...runs.map((r) => r.startedAt));
      if (doneRun?.endedAt !== undefined && lastStartedAt > doneRun.endedAt) {
        this.#report("TWICE", `${task} started after it was done`);
      }
      const failedAt = runs.filter((r) => r.end === "failed" && r.isEndRecorded)
        .map((r) => r.endedAt ?? 0).sort((a, b) => a - b);
      const exhaustedAt = failedAt[job.maxAttempts - 1];
      if (exhaustedAt !== undefined && lastStartedAt > exhaustedAt) {
        this.#report(
          "BUDGET",
          `${task} started after ${failedAt.length} fails`,
        );
      }
    }
  }

  #checkRejected({ job, isRejected, hasUnclearAnswer }: JobRecord): void {
    if (!isRejected || hasUnclearAnswer) return;
    const ran = [...this.#runs.keys()].some((t) => t.startsWith(`${job.id}.`));
    if (ran) this.#report("REFUSED", `${job.id} ran though it was rejected`);
  }

  #checkPhase(record: JobRecord, phase: string): void {
    const { job, cancelledAt, isCancelSent } = record;
    // A cancellation may take effect though its answer was lost.
    const isCancelled = cancelledAt !== undefined ||
      (isCancelSent && phase === "cancelled");
    const tasks = job.steps.flatMap((step, s) =>
      Array.from({ length: step.count }, (_, i) => `${job.id}.0.${s}.${i}`)
    );
    if (phase === "completed") {
      for (const task of tasks) {
        if (!this.#isDone(task)) this.#report("MIXED", `${task} isn't done`);
      }
      return;
    }
    if (isCancelled) {
      for (const task of tasks) {
        if (this.#runs.get(task)?.some((r) => r.endedAt === undefined)) {
          this.#report(
            "UNASKED",
            `${task} runs on after its cancellation`,
          );
        }
      }
      return;
    }
    if (job.steps.some((step) => step.longRunning)) {
      for (const task of tasks) {
        const isRunning = this.#runs.get(task)?.some((r) =>
          r.endedAt === undefined
        );
        if (!isRunning) this.#report("LOST", `${task} is not running`);
      }
      return;
    }
    const hasExhaustedTask = tasks.some((task) => {
      const failedRuns = (this.#runs.get(task) ?? []).filter((r) =>
        r.end === "failed"
      );
      return failedRuns.length >= job.maxAttempts;
    });
    if (phase === "failed" && !hasExhaustedTask) {
      this.#report("LOST", `${job.id} is shown as failed without cause`);
    }
    if (phase !== "failed") this.#report("LOST", `${job.id} is ${phase}`);
  }

  #isDone(task: string): boolean {
    return this.#runs.get(task)?.some((r) => r.end === "done") ?? false;
  }

  #report(rule: string, text: string): void {
    const seconds = (this.now() / 1_000).toFixed(3);
    this.violations.push(`${rule} at ${seconds} s: ${text}`);
  }
}
