/**
 * Comparisons of amounts with the limit of a workspace. A limit of 0 on a
 * resource means that it is not limited.
 */
import type { Resources } from "../batch/index.ts";

/** Name of a resource. */
export type ResourceName = keyof Resources;

/** Names of all resources. */
export const resourceNames: readonly ResourceName[] = [
  "cpuMillis",
  "memoryMb",
  "gpus",
];

/** Creates an amount of each resource. */
export function amountsOf(amount: (name: ResourceName) => number): Resources {
  return {
    cpuMillis: amount("cpuMillis"),
    memoryMb: amount("memoryMb"),
    gpus: amount("gpus"),
  };
}

/** Whether two amounts are the same. */
export function isSameAmount(a: Resources, b: Resources): boolean {
  return resourceNames.every((name) => a[name] === b[name]);
}

/** Whether a total is above a limit in some limited resource. */
export function exceeds(total: Resources, limit: Resources): boolean {
  return resourceNames.some((name) =>
    limit[name] > 0 && total[name] > limit[name]
  );
}

/** Whether a limit is lower than another one in some resource. */
export function isLowerLimit(limit: Resources, other: Resources): boolean {
  return resourceNames.some((name) =>
    limit[name] > 0 && (other[name] === 0 || limit[name] < other[name])
  );
}

/** The limited resources of which a task needs some. */
export function limitedNeeds(
  limit: Resources,
  demand: Resources,
): readonly ResourceName[] {
  return resourceNames.filter((name) => limit[name] > 0 && demand[name] > 0);
}
