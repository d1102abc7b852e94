/**
 * Checks of a job's final state: what its runs and the phase that is shown for it
 * say after all work has ended.
 */

import type { Resources } from "../src/batch/index.ts";

/** The parts of a submitted job that the oracle checks. */
export interface SubmittedJob {
  readonly id: string;
  readonly payload: string;
  readonly maxAttempts: number;
  readonly steps: readonly SubmittedStep[];
  /** Number of occurrences. */
  readonly occurrences: number;
  /** Workspace that it belongs to; absent for none. */
  readonly workspace?: string;
}

/** The parts of a submitted step that the oracle checks. */
export interface SubmittedStep {
  readonly count: number;
  readonly after: readonly number[];
  readonly longRunning: boolean;
  readonly maxUnavailable?: number;
  /** Resources of each task; absent if they do not matter. */
  readonly demand?: Resources;
}

/** One run of a task, as its endpoint observed it. Times are in ms. */
export interface RunRecord {
  readonly task: string;
  readonly run: number;
  readonly endpoint: string;
  readonly startedAt: number;
  endedAt?: number;
  end?: string;
  /**
   * When the run became unavailable, and whether by an order of the scheduler;
   * undefined before that.
   */
  down?: { readonly at: number; readonly byOrder: boolean };
  /** Whether the end was recorded while the lease still held. */
  isEndRecorded: boolean;
}

/** A submitted job and the answers that its caller got. */
export interface JobRecord {
  readonly job: SubmittedJob;
  readonly submittedAt: number;
  isAccepted: boolean;
  isRejected: boolean;
  /** Whether some attempt to submit it got no definite answer. */
  hasUnclearAnswer: boolean;
  /** Whether a cancellation was sent, whatever its answer. */
  isCancelSent: boolean;
  /** Time of the first successful answer to a cancellation, in ms. */
  cancelledAt?: number;
}

/** A violated rule and what happened. */
export interface Violation {
  readonly rule: string;
  readonly text: string;
}

/** The runs of each task, by its name. */
type RunsByTask = ReadonlyMap<string, readonly RunRecord[]>;

/** Names of all tasks of a job. */
function taskNames(job: SubmittedJob): readonly string[] {
  return Array.from(
    { length: job.occurrences },
    (_, occurrence) =>
      job.steps.flatMap((step, s) =>
        Array.from(
          { length: step.count },
          (_, i) => `${job.id}.${occurrence}.${s}.${i}`,
        )
      ),
  ).flat();
}

/** Finds tasks that started again once they were done or out of attempts. */
function startsAfterEnd(
  { job }: JobRecord,
  runsByTask: RunsByTask,
): readonly Violation[] {
  const found: Violation[] = [];
  for (const [task, runs] of runsByTask) {
    if (!task.startsWith(`${job.id}.`)) continue;
    const step = job.steps[Number(task.split(".")[2])];
    if (step.longRunning) continue;
    const doneRun = runs.find((r) => r.end === "done" && r.isEndRecorded);
    const lastStartedAt = Math.max(...runs.map((r) => r.startedAt));
    if (doneRun?.endedAt !== undefined && lastStartedAt > doneRun.endedAt) {
      found.push({ rule: "TWICE", text: `${task} started after it was done` });
    }
    const failedAt = runs.filter((r) => r.end === "failed" && r.isEndRecorded)
      .map((r) => r.endedAt ?? 0).sort((a, b) => a - b);
    const exhaustedAt = failedAt[job.maxAttempts - 1];
    if (exhaustedAt !== undefined && lastStartedAt > exhaustedAt) {
      const text = `${task} started after ${failedAt.length} failures`;
      found.push({ rule: "BUDGET", text });
    }
  }
  return found;
}

/** Checks that a job that was only rejected has not run. */
function runsAlthoughRejected(
  { job, isRejected, hasUnclearAnswer }: JobRecord,
  runs: RunsByTask,
): readonly Violation[] {
  if (!isRejected || hasUnclearAnswer) return [];
  const ran = [...runs.keys()].some((t) => t.startsWith(`${job.id}.`));
  const text = `job ${job.id} ran although rejected`;
  return ran ? [{ rule: "REFUSED", text }] : [];
}

/** Checks the phase that is shown for a job against its runs. */
function phaseViolations(
  { job, cancelledAt, isCancelSent }: JobRecord,
  phase: string,
  runsByTask: RunsByTask,
): readonly Violation[] {
  const tasks = taskNames(job);
  const runsOf = (task: string) => runsByTask.get(task) ?? [];
  const isActive = (task: string) =>
    runsOf(task).some((r) => r.endedAt === undefined);
  if (phase === "completed") {
    return tasks.filter((task) => !runsOf(task).some((r) => r.end === "done"))
      .map((task) => ({ rule: "MIXED", text: `${task} not done` }));
  }
  // A cancellation whose answer was lost may still have taken effect.
  const isCancelled = cancelledAt !== undefined ||
    (isCancelSent && phase === "cancelled");
  if (isCancelled) {
    return tasks.filter(isActive).map((task) => ({
      rule: "UNASKED",
      text: `${task} still runs after its cancellation`,
    }));
  }
  if (job.steps.some((step) => step.longRunning)) {
    return tasks.filter((task) => !isActive(task))
      .map((task) => ({ rule: "LOST", text: `${task} is not running` }));
  }
  if (phase !== "failed") {
    return [{ rule: "LOST", text: `job ${job.id} is ${phase}` }];
  }
  const hasExhaustedTask = tasks.some((task) =>
    runsOf(task).filter((r) => r.end === "failed").length >= job.maxAttempts
  );
  const text = `job ${job.id} failed without cause`;
  return hasExhaustedTask ? [] : [{ rule: "LOST", text }];
}

/**
 * Returns the rules that a job's final state violates. `phase` is the one that is
 * shown for it; undefined if the job is unknown.
 */
export function finalViolations(
  record: JobRecord,
  phase: string | undefined,
  runs: RunsByTask,
): readonly Violation[] {
  const started = startsAfterEnd(record, runs);
  if (!record.isAccepted) {
    return [...started, ...runsAlthoughRejected(record, runs)];
  }
  if (phase === undefined) {
    const text = `job ${record.job.id} is unknown`;
    return [...started, { rule: "LOST", text }];
  }
  return [...started, ...phaseViolations(record, phase, runs)];
}
