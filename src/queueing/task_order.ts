/**
 * Computes the order in which waiting tasks are placed.
 *
 * A job earns its full benefit if it ends within its objective, a small part
 * up to three times the objective, and nothing after that. Tasks are ordered
 * by the priority of their queue. Within a priority, long-running tasks come
 * first because they earn for as long as they run. Then follow jobs that can
 * still meet their objective, by latest start; then jobs that can only end
 * late; then jobs for which there is no room until they earn nothing; then jobs
 * that earn nothing any more but still have to be done. What a workspace sends
 * beyond the rate of its weight comes after all that can be served of its
 * priority, and what of it earns nothing comes last of all.
 *
 * Callers' estimates are unreliable, so the expected run times are an input
 * of this module.
 */
import {
  dueAt,
  isLongRunning,
  type JobSpec,
  type StepSpec,
} from "../batch/index.ts";
import type { LoadDecision } from "./load_plan.ts";

/** A job earns its late benefit up to this multiple of its objective. */
export const lateBenefitFactor = 3;

/** Returns the expected run time of a step's tasks, in ms; 0 if it is done. */
type StepDuration = (step: StepSpec, index: number) => number;

/** Returns the length of the longest chain of dependent steps, in ms. */
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

/**
 * Returns for each step the time from its start to the end of the longest chain
 * of dependent steps that it begins, in ms.
 */
export function remainingChainsMs(
  steps: readonly StepSpec[],
  durationOf: StepDuration,
): readonly number[] {
  const chains = steps.map(durationOf);
  for (let i = steps.length - 1; i >= 0; i--) {
    for (const dependency of steps[i].after) {
      if (dependency >= i) continue;
      const chain = durationOf(steps[dependency], dependency) + chains[i];
      chains[dependency] = Math.max(chains[dependency], chain);
    }
  }
  return chains;
}

/** Tier of a job with long-running tasks. */
const longRunningTier = 0;

/** Tier of a job that can still meet its objective. */
export const onTimeTier = 1;

/** Tier of a job that can only end late. */
export const lateTier = 2;

/** Tier of a job that earns nothing any more. */
const noBenefitTier = 3;

/** Sort key of an occurrence's tasks; lower values are placed first. */
export interface Rank {
  /** Priority of the job's queue; 0 is the most urgent. */
  readonly priority: number;
  /** 0 long-running, 1 on time, 2 late, 3 no benefit. */
  readonly tier: number;
  /** Whether its workspace has sent it beyond the rate of its weight. */
  readonly isBeyondWeight: boolean;
  /** Whether there is no room for it until it earns nothing. */
  readonly isUnserved: boolean;
  /**
   * Latest wall-clock time at which the remaining work can start and still earn
   * the benefit of the tier, in ms; the release time for long-running tasks.
   */
  readonly latestStart: number;
  /** Wall-clock time by which it must end to meet its objective, in ms. */
  readonly finishBy: number;
}

/** Run time estimates and progress of an occurrence. */
export interface StepEstimates {
  /** Returns the expected run time of a task of a step, in ms. */
  readonly expectedMs: (step: StepSpec) => number;
  /** Returns whether a step of the occurrence is done. */
  readonly isDone: (step: number) => boolean;
}

/** Release time, objective and remaining duration of an occurrence. */
export interface OccurrenceTimes {
  /** Wall-clock time from which the occurrence may run, in ms. */
  readonly releaseAt: number;
  /** Time after the release within which it is on time, in ms. */
  readonly objective: number;
  /** Expected time to its end if all remaining tasks started now, in ms. */
  readonly leftMs: number;
}

/** Computes the times of an occurrence that don't depend on the clock. */
export function occurrenceTimes(
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
  return { releaseAt, objective: spec.sloMs + spec.stretch * totalMs, leftMs };
}

/** Returns the rank of an occurrence at the wall-clock time `now`, in ms. */
export function rankAt(
  { priority }: JobSpec,
  { releaseAt, objective, leftMs }: OccurrenceTimes,
  now: number,
): Rank {
  const finishBy = releaseAt + objective;
  if (objective === Infinity) {
    return {
      priority,
      isBeyondWeight: false,
      isUnserved: false,
      tier: longRunningTier,
      latestStart: releaseAt,
      finishBy,
    };
  }
  const latestOnTimeStart = finishBy - leftMs;
  if (now <= latestOnTimeStart) {
    return {
      priority,
      isBeyondWeight: false,
      isUnserved: false,
      tier: onTimeTier,
      latestStart: latestOnTimeStart,
      finishBy,
    };
  }
  const latestLateStart = releaseAt + lateBenefitFactor * objective - leftMs;
  const tier = now <= latestLateStart ? lateTier : noBenefitTier;
  return {
    priority,
    isBeyondWeight: false,
    isUnserved: false,
    tier,
    latestStart: latestLateStart,
    finishBy,
  };
}

/** Returns the rank of a job with the decision of a load plan, if there is one. */
export function decidedRank(
  rank: Rank,
  decision: LoadDecision | undefined,
): Rank {
  if (decision === undefined || rank.tier === longRunningTier) return rank;
  const { outcome, isBeyondWeight } = decision;
  const tier = outcome === "on-time"
    ? rank.tier
    : Math.max(rank.tier, lateTier);
  const isUnserved = outcome === "unserved";
  return { ...rank, tier, isUnserved, isBeyondWeight };
}

/**
 * Returns the place of a rank within its priority: what earns a benefit before
 * what doesn't, and of each what lies beyond its workspace's weight last.
 */
function groupOf({ tier, isUnserved, isBeyondWeight }: Rank): number {
  const earns = tier <= lateTier && !isUnserved;
  return (earns ? 0 : 2) + (isBeyondWeight ? 1 : 0);
}

/** Compares two ranks; sorts those to be placed first to the front. */
export function compareRanks(a: Rank, b: Rank): number {
  return a.priority - b.priority ||
    groupOf(a) - groupOf(b) || a.tier - b.tier ||
    a.latestStart - b.latestStart;
}
