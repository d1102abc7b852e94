/**
 * Where a waiting task goes: the endpoints that may run it, best first.
 *
 * An endpoint that lacks the room, the label, or the right to run more of the
 * step is left out. Among the others an endpoint in the rack of the task's
 * data goes first, then one with few recent failures, then the one with the
 * smallest share of its processor free: so hosts that are not needed become
 * empty soon and can move to a pool that lacks them.
 */
import type { Resources, StepSpec } from "../batch/index.ts";

/** What the choice looks at. */
export interface Candidate {
  readonly id: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly used: Resources;
  /** Tasks of the same step and occurrence there. */
  readonly sameStepCount: number;
  /** Whether the task has failed there before. */
  readonly failedHere: boolean;
  /** Suspicion of the endpoint, 0 for none to 1. */
  readonly failureRatio: number;
}

/** Room that a task takes from its endpoint. */
export function roomOf(step: StepSpec): Resources {
  return step.filler ? { ...step.demand, cpuMillis: 0 } : step.demand;
}

/** Sum of two amounts. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis + b.cpuMillis,
    memoryMb: a.memoryMb + b.memoryMb,
    gpus: a.gpus + b.gpus,
  };
}

/** An amount several times. */
export function multiplyResources(a: Resources, times: number): Resources {
  return {
    cpuMillis: a.cpuMillis * times,
    memoryMb: a.memoryMb * times,
    gpus: a.gpus * times,
  };
}

/** Difference of two amounts. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis - b.cpuMillis,
    memoryMb: a.memoryMb - b.memoryMb,
    gpus: a.gpus - b.gpus,
  };
}

/** Whether a candidate may run a task of the step now. */
export function isEligible(step: StepSpec, c: Candidate): boolean {
  const { capacity, used } = c;
  const { demand } = step;
  const cpuMillis = step.filler ? 0 : demand.cpuMillis;
  if (used.cpuMillis + cpuMillis > capacity.cpuMillis) return false;
  if (used.memoryMb + demand.memoryMb > capacity.memoryMb) return false;
  if (used.gpus + demand.gpus > capacity.gpus) return false;
  if (step.label !== "" && !c.labels.includes(step.label)) return false;
  return step.maxPerEndpoint <= 0 || c.sameStepCount < step.maxPerEndpoint;
}

/** The rack where a rack-local step already runs, if any. */
export type PreferredRack = string | undefined;

function score(step: StepSpec, rack: PreferredRack, c: Candidate): number {
  const preferredRack = step.rack === "" ? rack : step.rack;
  const rackPenalty =
    preferredRack !== undefined && !c.labels.includes(preferredRack) ? 4 : 0;
  const failurePenalty = c.failedHere ? 8 : 0;
  const totalCpuMillis = Math.max(1, c.capacity.cpuMillis);
  const freeCpuShare = 1 - c.used.cpuMillis / totalCpuMillis;
  return failurePenalty + 6 * c.failureRatio + rackPenalty + freeCpuShare;
}

/** The best eligible candidate; undefined when there is none. */
export function choosePlace<C extends Candidate>(
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
