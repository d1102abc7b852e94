/** Builds endpoints of a pool for the tests of its demand. */
import { noResources } from "../../src/batch/index.ts";
import type { PoolEndpoint } from "../../src/capacity/index.ts";

/** Creates an open endpoint with four cores and without runs. */
export function poolEndpoint(
  id: string,
  changes: Partial<PoolEndpoint> = {},
): PoolEndpoint {
  return {
    id,
    capacity: { cpuMillis: 4_000, memoryMb: 8_000, gpus: 0 },
    used: noResources,
    usedByLongRunning: noResources,
    labels: [],
    isOpen: true,
    isSetAside: false,
    runCount: 0,
    hasLongRunningRuns: false,
    awaitsVacate: false,
    budgets: new Map(),
    silentMs: 0,
    ...changes,
  };
}
