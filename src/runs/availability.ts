/**
 * Checks the availability budgets of long-running steps: how many tasks of a
 * step are unavailable, and whether another one may be interrupted.
 *
 * The owner of a shard knows the state of a task from the last lists of its
 * endpoint. Tasks of an endpoint without recent lists count as unavailable.
 */
import { taskAt, taskName } from "../batch/index.ts";
import type { EndpointSession, Run } from "../sessions/index.ts";
import type { TrackedJob } from "../shard_jobs/index.ts";

/** Percentage that a long-running task reports when it is fully up. */
export const fullyUpPercent = 100;

/** Time after its start in which a task must be fully up, in ms. */
export const startupTimeoutMs = 5_000;

/**
 * Age up to which an endpoint's lists are valid, in ms: the longest wait of a
 * hold, plus the timeout of its answer, plus half a second.
 */
export const maxListsAgeMs = 2_500;

/** Returns the session of an endpoint; undefined if there is none. */
export type FindSession = (endpoint: string) => EndpointSession | undefined;

/** Availability of a step without the task that is to be interrupted. */
export interface StepAvailability {
  /** Number of other tasks of the step that are not known to be available. */
  readonly unavailable: number;
  /** Whether the budget allows another interruption. */
  readonly allowsInterruption: boolean;
}

/**
 * Returns whether the endpoint runs a long-running task that is not fully up
 * and still within its startup time.
 */
export function isStartingUp(session: EndpointSession, now: number): boolean {
  return [...session.runs.values()].some((run) =>
    run.step.longRunning && run.phase === "running" &&
    run.percent < fullyUpPercent &&
    now - run.phaseChangedAt < startupTimeoutMs
  );
}

/** Returns whether an endpoint's last lists are recent enough to rely on. */
export function isUpToDate(session: EndpointSession, now: number): boolean {
  return session.listsAge(now) <= maxListsAgeMs;
}

/**
 * Returns whether an earlier owner may have ordered a stop of a run that the
 * endpoint still lists as running. It can't have done so for a run that this
 * owner has started.
 */
function mayBeStopping(session: EndpointSession, run: Run): boolean {
  return run.startSentAt === undefined && !session.isClearOfEarlierStops;
}

/** Returns whether a task is known to be fully up. */
function isAvailable(
  job: TrackedJob,
  ref: Run["ref"],
  find: FindSession,
  now: number,
): boolean {
  const placement = taskAt(job.progress, ref)?.placement;
  if (placement === undefined) return false;
  const session = find(placement.endpoint);
  const run = session?.find(taskName(job.spec.id, ref), placement.run);
  if (session === undefined || run === undefined) return false;
  if (!isUpToDate(session, now) || mayBeStopping(session, run)) return false;
  return run.phase === "running" && run.percent === fullyUpPercent;
}

/** Checks the budget of a run's step at the monotonic time `now` (ms). */
export function checkAvailability(
  job: TrackedJob,
  run: Run,
  find: FindSession,
  now: number,
): StepAvailability {
  const { maxUnavailable, count } = run.step;
  let unavailableCount = 0;
  for (let index = 0; index < count; index++) {
    if (index === run.ref.index) continue;
    if (!isAvailable(job, { ...run.ref, index }, find, now)) unavailableCount++;
  }
  return {
    unavailable: unavailableCount,
    allowsInterruption: maxUnavailable === undefined ||
      unavailableCount < maxUnavailable,
  };
}
