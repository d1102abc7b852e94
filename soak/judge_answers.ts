/**
 * Judges answers. LOST: an accepted job is not known, gets no answer in the end,
 * or is shown as failed or cancelled without cause. MIXED: a job is shown as
 * completed while a task is not done.
 */
import { contactMs, visibleMs } from "./bounds.ts";
import type { Finding, RulePart } from "./finding.ts";
import { hasFailedForGood } from "./judge_idle.ts";
import {
  type PlayRecord,
  type SeenAnswer,
  type SeenJob,
  taskNames,
} from "./play_record.ts";

/** Judges the answers that callers got. */
export class AnswerJudge {
  constructor(private readonly record: PlayRecord) {}

  /** Finds wrong and missing answers; at most one of each part a job. */
  judge(): readonly Finding[] {
    const accepted = [...this.record.jobs.values()]
      .filter(({ acceptedAt }) => acceptedAt !== undefined);
    return accepted.flatMap((job) => this.#judgeJob(job));
  }

  #judgeJob(job: SeenJob): readonly Finding[] {
    const answers = this.record.answers.filter((each) => each.job === job.id);
    const unknown = answers.find((answer) => this.#isUnknown(job, answer));
    const failed = answers.find((answer) =>
      answer.state === "failed" && !this.#hasFailed(job, answer.answeredAt)
    );
    const completed = answers.find((answer) =>
      answer.state === "completed" && !this.#isDone(job, answer.answeredAt)
    );
    // The callers of a play cancel nothing.
    const cancelled = answers.find(({ state }) => state === "cancelled");
    const found = [
      unknown && toFinding(job, "answered 410", unknown),
      failed && toFinding(job, "shown as failed", failed),
      cancelled && toFinding(job, "shown as cancelled", cancelled),
      completed && toFinding(job, "shown as completed", completed),
      this.#judgeEnd(job, answers),
    ];
    return found.filter((finding) => finding !== undefined);
  }

  /** Whether an entry in touch does not know a job that it has to know. */
  #isUnknown(job: SeenJob, { status, sentAt, entry }: SeenAnswer): boolean {
    if (status !== 410 || job.acceptedAt === undefined) return false;
    const isVisible = sentAt > job.acceptedAt + visibleMs;
    return isVisible && this.#isInTouch(entry, sentAt);
  }

  #isInTouch(entry: string, at: number): boolean {
    return !this.record.disturbances.some(({ who, from, to }) =>
      who === entry && from <= at && (to ?? Infinity) >= at - contactMs
    );
  }

  /** Whether a task of the job has failed as often as it may. */
  #hasFailed(job: SeenJob, at: number): boolean {
    const tasks = job.steps.flatMap((_, step) => taskNames(job, step));
    return tasks.some((task) => hasFailedForGood(this.record.runsOf(task), at));
  }

  /** Whether all tasks of the job have ended as done. */
  #isDone(job: SeenJob, at: number): boolean {
    const tasks = job.steps.flatMap((_, step) => taskNames(job, step));
    return tasks.every((task) =>
      this.record.runsOf(task).some(({ end, endedAt = Infinity }) =>
        end === "done" && endedAt <= at
      )
    );
  }

  /** Judges the answers that came when all jobs were asked for in the end. */
  #judgeEnd(
    job: SeenJob,
    answers: readonly SeenAnswer[],
  ): Finding | undefined {
    const last = answers.filter(({ sentAt }) => sentAt >= this.record.finishAt);
    if (last.some(({ state }) => state !== undefined)) return undefined;
    const unknown = last.find(({ status }) => status === 410);
    if (unknown !== undefined) {
      return toFinding(job, "unknown in the end", unknown);
    }
    const missing = last.at(-1);
    return missing && toFinding(job, "no answer in the end", missing);
  }
}

function toFinding(
  job: SeenJob,
  part: RulePart,
  { answeredAt, entry, status, state }: SeenAnswer,
): Finding {
  const shown = state === undefined ? "" : `, state ${state}`;
  return {
    rule: part === "shown as completed" ? "MIXED" : "LOST",
    part,
    job: job.id,
    at: answeredAt,
    text: `${entry} answered with status ${status ?? "none"}${shown}`,
  };
}
