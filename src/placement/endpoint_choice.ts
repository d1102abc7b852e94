/**
 * Chooses the endpoint that runs a waiting task.
 *
 * Endpoints without enough free resources, without the required label, or at
 * the step's limit of tasks per endpoint are not eligible. Each eligible one
 * gets a penalty: 8 if the task has failed there before, up to 6 for the
 * failures of distinct jobs since the last success, 4 outside the preferred
 * rack, and the share of its CPU that is free. The lowest sum wins. The share
 * of free CPU makes used endpoints fill up first, so that hosts that the pool
 * does not need become empty soon and can move to a pool that lacks hosts.
 */
import type { Resources, StepSpec } from "../batch/index.ts";

/** Properties of an endpoint on which the choice depends. */
export interface PlacementCandidate {
  readonly id: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly used: Resources;
  /** Number of tasks of the same step and occurrence on the endpoint. */
  readonly sameStepCount: number;
  /** Whether the task has failed on the endpoint before. */
  readonly failedHere: boolean;
  /** Recent failures relative to the backoff threshold, 0 to 1. */
  readonly failureRatio: number;
}

/** Returns whether a candidate can run another task of the step now. */
export function isEligible(
  step: StepSpec,
  candidate: PlacementCandidate,
): boolean {
  const { capacity, used } = candidate;
  const { demand } = step;
  const cpuMillis = step.filler ? 0 : demand.cpuMillis;
  if (used.cpuMillis + cpuMillis > capacity.cpuMillis) return false;
  if (used.memoryMb + demand.memoryMb > capacity.memoryMb) return false;
  if (used.gpus + demand.gpus > capacity.gpus) return false;
  if (step.label !== "" && !candidate.labels.includes(step.label)) return false;
  return step.maxPerEndpoint <= 0 ||
    candidate.sameStepCount < step.maxPerEndpoint;
}

/** Rack in which a rack-local step already runs; undefined if none. */
export type PreferredRack = string | undefined;

/** Returns the penalty of a candidate; lower is better. */
function score(
  step: StepSpec,
  rack: PreferredRack,
  candidate: PlacementCandidate,
): number {
  const preferredRack = step.rack === "" ? rack : step.rack;
  const rackPenalty =
    preferredRack !== undefined && !candidate.labels.includes(preferredRack)
      ? 4
      : 0;
  const failurePenalty = candidate.failedHere ? 8 : 0;
  const totalCpuMillis = Math.max(1, candidate.capacity.cpuMillis);
  const freeCpuShare = 1 - candidate.used.cpuMillis / totalCpuMillis;
  return failurePenalty + 6 * candidate.failureRatio + rackPenalty +
    freeCpuShare;
}

/** Returns the eligible candidate with the lowest score, if there is one. */
export function chooseEndpoint<C extends PlacementCandidate>(
  step: StepSpec,
  candidates: readonly C[],
  rack?: PreferredRack,
): C | undefined {
  let best: C | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    if (!isEligible(step, candidate)) continue;
    const candidateScore = score(step, rack, candidate);
    if (candidateScore >= bestScore) continue;
    best = candidate;
    bestScore = candidateScore;
  }
  return best;
}
