/**
 * Judges the part of LOST that is about work that waits: a job with nothing
 * running, or a task that lasts and does not run, though there is room.
 */
import { calmBeforeMs, idleMs, lastingGraceMs, maxAttempts } from "./bounds.ts";
import type { Finding } from "./finding.ts";
import {
  isRunningAt,
  type PlayRecord,
  type SeenJob,
  type SeenRun,
  taskNames,
} from "./play_record.ts";
import { Snapshots } from "./snapshots.ts";

/** Interval between the moments that are looked at, in ms. */
const sampleMs = 100;

/** Share of a pool in use from which waiting is excused in the end. */
const busyShare = 0.5;

/** Whether a task has failed as often as it may, until a time. */
export function hasFailedForGood(
  runs: readonly SeenRun[],
  at: number,
): boolean {
  const failed = runs.filter(({ end, endedAt }) =>
    end === "failed" && (endedAt ?? Infinity) <= at
  );
  return failed.length >= maxAttempts;
}

/** Judges waiting work. */
export class IdleJudge {
  readonly #snapshots: Snapshots;
  /** Ids of the jobs that were shown as completed. */
  readonly #completedJobs: ReadonlySet<string>;

  constructor(private readonly record: PlayRecord) {
    this.#snapshots = new Snapshots(record);
    const completed = record.answers
      .filter(({ state }) => state === "completed");
    this.#completedJobs = new Set(completed.map(({ job }) => job));
  }

  /** Finds jobs and tasks that waited for too long. */
  judge(): readonly Finding[] {
    const accepted = [...this.record.jobs.values()]
      .filter(({ acceptedAt }) => acceptedAt !== undefined);
    return accepted.flatMap((job) =>
      job.steps.some(({ longRunning }) => longRunning)
        ? this.#judgeLasting(job)
        : this.#judgeEnding(job)
    );
  }

  /**
   * The longest time for which each job that ends had nothing running at any time
   * of the play though a task was due and had room, in ms. It breaks no rule
   * before the end; it tells what a takeover or a lease that is waited for costs.
   */
  longestWaits(): readonly number[] {
    return [...this.record.jobs.values()]
      .filter(({ acceptedAt }) => acceptedAt !== undefined)
      .filter(({ steps }) => !steps.some(({ longRunning }) => longRunning))
      .map((job) => this.#longestWait(job));
  }

  #longestWait(job: SeenJob): number {
    const { endAt } = this.record;
    let longest = 0;
    let since: number | undefined;
    for (let at = job.acceptedAt ?? endAt; at <= endAt; at += sampleMs) {
      if (this.#hasNothingRunning(job, at)) since ??= at;
      else since = undefined;
      if (since !== undefined) longest = Math.max(longest, at - since);
    }
    return longest;
  }

  /** Judges a job that ends, from the moment at which jobs are asked for. */
  #judgeEnding(job: SeenJob): readonly Finding[] {
    const { finishAt, endAt } = this.record;
    const idleAt = findSpan(
      finishAt,
      endAt,
      (at) => this.#hasNothingRunning(job, at),
    );
    if (idleAt === undefined) return [];
    const task = this.#dueTask(job, idleAt);
    return [{
      rule: "LOST",
      part: "nothing runs in the end",
      job: job.id,
      ...(task !== undefined && { task }),
      at: idleAt,
      text: `the job has nothing running for ${idleMs} ms, and ${task} is due`,
    }];
  }

  /** Whether a job has nothing running though a task is due and has room. */
  #hasNothingRunning(job: SeenJob, at: number): boolean {
    const runs = job.steps.flatMap((_, step) =>
      taskNames(job, step).flatMap((task) => this.record.runsOf(task))
    );
    if (runs.some((run) => isRunningAt(run, at))) return false;
    const task = this.#dueTask(job, at);
    if (task === undefined) return false;
    return this.#hasRoomInTheEnd(job, task, at);
  }

  #hasRoomInTheEnd(job: SeenJob, task: string, at: number): boolean {
    const step = job.steps[Number(task.split(".")[2])];
    return this.#snapshots.hasRoomTwice(job.pool, step, at) &&
      this.#snapshots.usedShare(job.pool, at) < busyShare;
  }

  /**
   * A task whose turn has come; undefined if none is due, the job has failed, or
   * it was shown as completed: an entry then knew of ends that nobody else saw.
   */
  #dueTask(job: SeenJob, at: number): string | undefined {
    if (this.#completedJobs.has(job.id)) return undefined;
    const tasks = job.steps.flatMap((_, step) => taskNames(job, step));
    const isOver = tasks.some((task) =>
      hasFailedForGood(this.record.runsOf(task), at)
    );
    if (isOver) return undefined;
    const dueSteps = job.steps.map((_, step) => step)
      .filter((step) => this.#hasTurn(job, step, at));
    return dueSteps.flatMap((step) => taskNames(job, step))
      .find((task) => !this.#isDone(task, at));
  }

  /** Whether all tasks of the steps before a step are done. */
  #hasTurn(job: SeenJob, step: number, at: number): boolean {
    const before = job.steps[step].after ?? [];
    return before.flatMap((earlier) => taskNames(job, earlier))
      .every((task) => this.#isDone(task, at));
  }

  /** Whether a task is done, by an end that was or can still be noted. */
  #isDone(task: string, at: number): boolean {
    return this.record.runsOf(task).some((run) =>
      run.end === "done" && (run.endedAt ?? Infinity) <= at &&
      (run.notedAt !== undefined || !this.#hasLifeEnded(run, at))
    );
  }

  #hasLifeEnded({ endpoint, life }: SeenRun, at: number): boolean {
    const seen = this.record.lives.find((each) =>
      each.endpoint === endpoint && each.life === life
    );
    return (seen?.to ?? Infinity) <= at;
  }

  /** Judges each task of a job that lasts. */
  #judgeLasting(job: SeenJob): readonly Finding[] {
    return job.steps.flatMap((_, step) => taskNames(job, step))
      .map((task) =>
        this.#judgeInTheEnd(job, task) ?? this.#judgeInCalm(job, task)
      )
      .filter((finding) => finding !== undefined);
  }

  #judgeInTheEnd(job: SeenJob, task: string): Finding | undefined {
    const { finishAt, endAt } = this.record;
    const at = findSpan(
      finishAt,
      endAt,
      (t) => this.#isAway(job, task, t) && this.#hasRoomInTheEnd(job, task, t),
    );
    if (at === undefined) return undefined;
    return toLastingFinding("lasting task does not run in the end", task, at);
  }

  /** Judges a task at any time of the day, if all is calm, however full. */
  #judgeInCalm(job: SeenJob, task: string): Finding | undefined {
    const step = job.steps[Number(task.split(".")[2])];
    const at = findSpan(
      job.acceptedAt ?? Infinity,
      this.record.endAt,
      (t) =>
        this.#isAway(job, task, t) && this.#isCalm(t) &&
        this.#snapshots.hasRoomTwice(job.pool, step, t),
    );
    if (at === undefined) return undefined;
    return toLastingFinding(
      "lasting task does not run in a calm time",
      task,
      at,
    );
  }

  /** Whether a task that lasts has not run for longer than is granted. */
  #isAway(job: SeenJob, task: string, at: number): boolean {
    const begun = this.record.runsOf(task)
      .filter(({ startedAt }) => startedAt <= at);
    if (begun.some((run) => isRunningAt(run, at))) return false;
    const ends = begun.map(({ endedAt }) => endedAt ?? at);
    const since = Math.max(job.acceptedAt ?? Infinity, ...ends);
    return at >= since + lastingGraceMs;
  }

  /** Whether nothing is disturbed at a time and in the calm before it. */
  #isCalm(at: number): boolean {
    return !this.record.disturbances.some(({ from, to }) =>
      from <= at && (to ?? Infinity) >= at - calmBeforeMs
    );
  }
}

/** The beginning of the first span of `idleMs` in which all samples hold. */
function findSpan(
  from: number,
  to: number,
  holds: (at: number) => boolean,
): number | undefined {
  let since: number | undefined;
  for (let at = from; at <= to; at += sampleMs) {
    if (!holds(at)) since = undefined;
    else since ??= at;
    if (since !== undefined && at - since >= idleMs) return since;
  }
  return undefined;
}

function toLastingFinding(
  part: Finding["part"],
  task: string,
  at: number,
): Finding {
  const [job] = task.split(".");
  const text = `${task} lasts and does not run for ${idleMs} ms`;
  return { rule: "LOST", part, job, task, at, text };
}
