/**
 * In which order waiting tasks get a place.
 *
 * A job earns its full benefit up to its objective, a small part up to three
 * times the objective, and nothing later. So jobs that can still meet their
 * objective go first, the earliest deadline first; then those that are late;
 * then those that have missed both, which still have to be done. The queue's
 * priority goes before all of that, and long-running tasks, which earn as
 * long as they run, before the others of their priority.
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

/** Length of the longest chain of steps by the caller's estimates, in ms. */
export function longestChainMs(steps: readonly StepSpec[]): number {
  const ends: number[] = [];
  steps.forEach((step, i) => {
    const before = step.after.filter((b) => b < i).map((b) => ends[b]);
    ends[i] = Math.max(0, ...before) + step.estimateMs;
  });
  return Math.max(0, ...ends);
}

/** What decides the order of an occurrence's tasks; lower goes first. */
export interface Rank {
  readonly priority: number;
  /** 0 long-running, 1 on time, 2 late, 3 without benefit. */
  readonly tier: number;
  /** Wall-clock time in ms. */
  readonly deadline: number;
}

/** The rank of an occurrence at a wall-clock time. */
export function rankOf(spec: JobSpec, occurrence: number, now: number): Rank {
  const { priority } = spec;
  const begins = spec.schedule === undefined
    ? spec.acceptedAt
    : dueAt(spec, occurrence);
  if (isLongRunning(spec)) return { priority, tier: 0, deadline: begins };
  const objective = spec.sloMs + spec.stretch * longestChainMs(spec.steps);
  const age = now - begins;
  if (age <= objective) {
    return { priority, tier: 1, deadline: begins + objective };
  }
  const end = begins + lateFactor * objective;
  return { priority, tier: now <= end ? 2 : 3, deadline: end };
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
