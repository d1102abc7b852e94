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

/** Tier of a job that lasts. */
const lastingTier = 0;

/** Tier of a job that can be on time. */
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

/** What an occurrence's times are worked out from, besides the job. */
export interface TimesView {
  /** Expected run time of a task of a step in ms. */
  readonly expectedMs: (step: StepSpec) => number;
  /** Whether a step of the occurrence is done. */
  readonly isDone: (step: number) => boolean;
}

/** When an occurrence began, and what it takes; wall-clock times, in ms. */
export interface OccurrenceTimes {
  readonly begins: number;
  /** Time from its beginning within which it is on time. */
  readonly objective: number;
  /** Expected time until its end, were all that is left to start now. */
  readonly left: number;
}

/** The times of an occurrence, whatever the time is now. */
export function timesOf(
  spec: JobSpec,
  occurrence: number,
  { expectedMs, isDone }: TimesView,
): OccurrenceTimes {
  const begins = spec.schedule === undefined
    ? spec.acceptedAt
    : dueAt(spec, occurrence);
  if (isLongRunning(spec)) return { begins, objective: Infinity, left: 0 };
  const whole = longestChainMs(spec.steps, expectedMs);
  const left = longestChainMs(
    spec.steps,
    (step, i) => isDone(i) ? 0 : expectedMs(step),
  );
  return { begins, objective: spec.sloMs + spec.stretch * whole, left };
}

/** The rank of an occurrence at the wall-clock time `now`, in ms. */
export function rankAt(
  { priority }: JobSpec,
  { begins, objective, left }: OccurrenceTimes,
  now: number,
): Rank {
  const finishBy = begins + objective;
  if (objective === Infinity) {
    return { priority, tier: lastingTier, deadline: begins, finishBy };
  }
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
