/**
 * Availability budgets of long-running steps: how many tasks of a step are
 * away, and whether one more may be interrupted.
 *
 * An owner knows of a task what its endpoint told last. That grows old: tasks
 * of an endpoint that has not answered for a while count as away.
 */
import { taskAt, taskName } from "../batch/index.ts";
import type { EndpointSession, Run } from "./endpoint_session.ts";
import type { BookedJob } from "./job_book.ts";

/** Percentage at which a long-running task is at work. */
export const atWork = 100;

/** Time in which a long-running task has to be at work, in ms. */
export const startupMs = 5_000;

/**
 * Age from which the lists of an endpoint say nothing of its tasks, in ms: a
 * hold's wait and its time limit, and half a second more.
 */
export const maxReportAgeMs = 2_500;

/** Finds the session of an endpoint. */
export type FindSession = (endpoint: string) => EndpointSession | undefined;

/** What is known of a step whose task is about to be interrupted. */
export interface StepAvailability {
  /** Other tasks of the step that are not known to be at work. */
  readonly away: number;
  /** Whether the budget allows one more interruption. */
  readonly allows: boolean;
}

/** Whether a long-running task there has begun and is not yet at work. */
export function isStartingUp(session: EndpointSession, now: number): boolean {
  return [...session.runs.values()].some((run) =>
    run.step.longRunning && run.phase === "running" && run.percent < atWork &&
    now - run.changedAt < startupMs
  );
}

/** Whether an endpoint has told of its tasks recently enough. */
export function isHeard(session: EndpointSession, now: number): boolean {
  return session.newsAge(now) <= maxReportAgeMs;
}

function isAvailable(
  job: BookedJob,
  ref: Run["ref"],
  find: FindSession,
  now: number,
): boolean {
  const placement = taskAt(job.progress, ref)?.placement;
  if (placement === undefined) return false;
  const session = find(placement.endpoint);
  const run = session?.find(taskName(job.spec.id, ref), placement.run);
  if (session === undefined || run === undefined) return false;
  if (!isHeard(session, now) || !session.isClearOfEarlierStops) return false;
  return run.phase === "running" && run.percent === atWork;
}

/** Reviews the step of a run at the steady time `now`. */
export function reviewStep(
  job: BookedJob,
  run: Run,
  find: FindSession,
  now: number,
): StepAvailability {
  const { maxUnavailable, count } = run.step;
  let unavailable = 0;
  for (let index = 0; index < count; index++) {
    if (index === run.ref.index) continue;
    if (!isAvailable(job, { ...run.ref, index }, find, now)) unavailable++;
  }
  return {
    away: unavailable,
    allows: maxUnavailable === undefined || unavailable < maxUnavailable,
  };
}
