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
} from "../batch/index.ts";

/** A job's late benefit ends at this multiple of its objective. */
const lateBenefitFactor = 3;

/** Expected run time of a step's tasks in ms; 0 for a step that is done. */
type StepDuration = (step: StepSpec, index: number) => number;

/** Length of the longest chain of steps, in ms. */
function criticalPathMs(
  steps: readonly StepSpec[],
  durationOf: StepDuration,
): number {
  const endTimes: number[] = [];
  steps.forEach((step, i) => {
    const dependencyEnds = step.after.filter((b) => b < i).map((b) =>
      endTimes[b]
    );
    endTimes[i] = Math.max(0, ...dependencyEnds) + durationOf(step, i);
  });
  return Math.max(0, ...endTimes);
}

/** Tier of a job that lasts. */
const longRunningTier = 0;

/** Tier of a job that can be on time. */
export const onTimeTier = 1;

/** Tier of a job that can only be late. */
const lateTier = 2;

/** Tier of a job that brings no benefit any more. */
const noBenefitTier = 3;

/** What decides the order of an occurrence's tasks; lower goes first. */
export interface Rank {
  readonly priority: number;
  /** 0 long-running, 1 on time, 2 late, 3 without benefit. */
  readonly tier: number;
  /** Wall-clock time by which it has to start, in ms. */
  readonly latestStart: number;
  /** Wall-clock time by which it has to be done to be on time, in ms. */
  readonly finishBy: number;
}

/** What an occurrence's times are worked out from, besides the job. */
export interface StepEstimates {
  /** Expected run time of a task of a step in ms. */
  readonly expectedMs: (step: StepSpec) => number;
  /** Whether a step of the occurrence is done. */
  readonly isDone: (step: number) => boolean;
}

/** When an occurrence began, and what it takes; wall-clock times, in ms. */
export interface OccurrenceTimes {
  readonly releaseAt: number;
  /** Time from its beginning within which it is on time. */
  readonly objective: number;
  /** Expected time until its end, were all that is left to start now. */
  readonly leftMs: number;
}

/** The times of an occurrence, whatever the time is now. */
export function timesOf(
  spec: JobSpec,
  occurrence: number,
  { expectedMs, isDone }: StepEstimates,
): OccurrenceTimes {
  const releaseAt = spec.schedule === undefined
    ? spec.acceptedAt
    : dueAt(spec, occurrence);
  if (isLongRunning(spec)) return { releaseAt, objective: Infinity, leftMs: 0 };
  const totalMs = criticalPathMs(spec.steps, expectedMs);
  const leftMs = criticalPathMs(
    spec.steps,
    (step, i) => isDone(i) ? 0 : expectedMs(step),
  );
  return {
    releaseAt,
    objective: spec.sloMs + spec.stretch * totalMs,
    leftMs,
  };
}

/** The rank of an occurrence at the wall-clock time `now`, in ms. */
export function rankAt(
  { priority }: JobSpec,
  { releaseAt, objective, leftMs }: OccurrenceTimes,
  now: number,
): Rank {
  const finishBy = releaseAt + objective;
  if (objective === Infinity) {
    return {
      priority,
      tier: longRunningTier,
      latestStart: releaseAt,
      finishBy,
    };
  }
  const latestOnTimeStart = finishBy - leftMs;
  if (now <= latestOnTimeStart) {
    return {
      priority,
      tier: onTimeTier,
      latestStart: latestOnTimeStart,
      finishBy,
    };
  }
  const latestLateStart = releaseAt + lateBenefitFactor * objective -
    leftMs;
  const tier = now <= latestLateStart ? lateTier : noBenefitTier;
  return { priority, tier, latestStart: latestLateStart, finishBy };
}

/** The rank of a job that is put off in favour of others. */
export function putOff(rank: Rank): Rank {
  return { ...rank, tier: Math.max(rank.tier, lateTier) };
}

/** Orders ranks. */
export function compareRanks(a: Rank, b: Rank): number {
  return a.priority - b.priority || a.tier - b.tier ||
    a.latestStart - b.latestStart;
}
