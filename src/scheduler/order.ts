/**
 * In which order waiting tasks get a place.
 *
 * A job earns its full benefit up to its objective, a small part up to three
 * times the objective, and nothing later. So jobs that can still meet their
 * objective go first, the one that has to start soonest before the others;
 * then those that can only be late; then those that have missed both, which
 * still have to be done. The queue's priority goes before all of that, and
 * long-running tasks, which earn as long as they run, before the others of
 * their priority.
 *
 * Callers' estimates are far off, so the caller of this module says how long
 * a step's tasks are expected to run.
 */
import {
  dueAt,
  isLongRunning,
  type JobSpec,
  type StepSpec,
  type TaskRef,
} from "../batch/index.ts";

/** A job's late benefit ends at this multiple of its objective. */
const lateFactor = 3;

/** Expected run time of a step's tasks in ms; 0 for a step that is done. */
type StepTime = (step: StepSpec, index: number) => number;

/** Length of the longest chain of steps, in ms. */
function longestChainMs(
  steps: readonly StepSpec[],
  timeOf: StepTime,
): number {
  const ends: number[] = [];
  steps.forEach((step, i) => {
    const before = step.after.filter((b) => b < i).map((b) => ends[b]);
    ends[i] = Math.max(0, ...before) + timeOf(step, i);
  });
  return Math.max(0, ...ends);
}

/** Tier of a job that can be on time; a lasting one has 0. */
export const onTimeTier = 1;

/** Tier of a job that can only be late. */
const lateTier = 2;

/** Tier of a job that brings no benefit any more. */
const hopelessTier = 3;

/** What decides the order of an occurrence's tasks; lower goes first. */
export interface Rank {
  readonly priority: number;
  /** 0 long-running, 1 on time, 2 late, 3 without benefit. */
  readonly tier: number;
  /** Wall-clock time by which it has to start, in ms. */
  readonly deadline: number;
  /** Wall-clock time by which it has to be done to be on time, in ms. */
  readonly finishBy: number;
}

/** What a rank is worked out from, besides the job. */
export interface RankView {
  /** Wall-clock time in ms. */
  readonly now: number;
  /** Expected run time of a task of a step in ms. */
  readonly expectedMs: (step: StepSpec) => number;
  /** Whether a step of the occurrence is done. */
  readonly isDone: (step: number) => boolean;
}

/** The rank of an occurrence. */
export function rankOf(
  spec: JobSpec,
  occurrence: number,
  { now, expectedMs, isDone }: RankView,
): Rank {
  const { priority } = spec;
  const begins = spec.schedule === undefined
    ? spec.acceptedAt
    : dueAt(spec, occurrence);
  if (isLongRunning(spec)) {
    return { priority, tier: 0, deadline: begins, finishBy: Infinity };
  }
  const whole = longestChainMs(spec.steps, expectedMs);
  const left = longestChainMs(
    spec.steps,
    (step, i) => isDone(i) ? 0 : expectedMs(step),
  );
  const objective = spec.sloMs + spec.stretch * whole;
  const finishBy = begins + objective;
  const onTime = finishBy - left;
  if (now <= onTime) {
    return { priority, tier: onTimeTier, deadline: onTime, finishBy };
  }
  const late = begins + lateFactor * objective - left;
  const tier = now <= late ? lateTier : hopelessTier;
  return { priority, tier, deadline: late, finishBy };
}

/** The rank of a job that is put off in favour of others. */
export function putOff(rank: Rank): Rank {
  return { ...rank, tier: Math.max(rank.tier, lateTier) };
}

/** Orders ranks. */
export function compareRanks(a: Rank, b: Rank): number {
  return a.priority - b.priority || a.tier - b.tier || a.deadline - b.deadline;
}

/** A task that waits for a place. */
export interface WaitingTask {
  readonly spec: JobSpec;
  readonly ref: TaskRef;
  readonly rank: Rank;
}
