/** Arithmetic on the resources that tasks require and endpoints provide. */
import type { Resources, StepSpec } from "./job_spec.ts";

/** No resources. */
export const noResources: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

/**
 * Returns the resources that a task of the step reserves on its endpoint. A
 * filler task reserves no CPU, because it runs on unused capacity.
 */
export function reservedResources(step: StepSpec): Resources {
  return step.filler ? { ...step.demand, cpuMillis: 0 } : step.demand;
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
