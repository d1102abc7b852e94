/** Arithmetic on the resources that tasks require and endpoints provide. */
import type { Resources, StepSpec } from "./job_spec.ts";

/**
 * Largest amount of a resource that a host may have, in the unit of the field: a
 * million cores or a petabyte. Sums over all hosts stay exact.
 */
export const maxHostAmount = 1e9;

/** No resources. */
export const noResources: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

/**
 * Returns the resources that a task of the step reserves on its endpoint. A
 * filler task reserves no CPU, because it runs on unused capacity.
 */
export function reservedResources(step: StepSpec): Resources {
  return step.filler ? { ...step.demand, cpuMillis: 0 } : step.demand;
}

/** Returns whether a demand is no larger than a capacity in any resource. */
export function fitsInto(demand: Resources, capacity: Resources): boolean {
  return demand.cpuMillis <= capacity.cpuMillis &&
    demand.memoryMb <= capacity.memoryMb && demand.gpus <= capacity.gpus;
}

/** Returns whether a host may exist on which a task of the step fits. */
export function mayFitAnyHost(step: StepSpec): boolean {
  const { cpuMillis, memoryMb, gpus } = reservedResources(step);
  return Math.max(cpuMillis, memoryMb, gpus) <= maxHostAmount;
}

/** Returns the sum of two amounts of resources. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis + b.cpuMillis,
    memoryMb: a.memoryMb + b.memoryMb,
    gpus: a.gpus + b.gpus,
  };
}

/** Returns an amount of resources multiplied by a number. */
export function multiplyResources(a: Resources, times: number): Resources {
  return {
    cpuMillis: a.cpuMillis * times,
    memoryMb: a.memoryMb * times,
    gpus: a.gpus * times,
  };
}

/** Returns the difference of two amounts of resources. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis - b.cpuMillis,
    memoryMb: a.memoryMb - b.memoryMb,
    gpus: a.gpus - b.gpus,
  };
}
