/**
 * How much of a pool is in use, which decides whether jobs wait for open
 * endpoints, and is logged with the pool's demand for hosts.
 */
import { addResources, noResources, type Resources } from "../batch/index.ts";
import type { EndpointSession } from "./endpoint_session.ts";

/** Resources of a pool's open endpoints. */
export interface PoolUsage {
  readonly capacity: Resources;
  /** Part of the capacity that tasks reserve. */
  readonly used: Resources;
}

/** Adds up the endpoints on which tasks may be placed, closed ones included. */
export function usageOf(sessions: Iterable<EndpointSession>): PoolUsage {
  let capacity = noResources;
  let used = noResources;
  for (const session of sessions) {
    if (!session.isOpen) continue;
    capacity = addResources(capacity, session.endpoint.capacity);
    used = addResources(used, session.used);
  }
  return { capacity, used };
}

/** Returns the share of a pool in use, of CPU or memory, whichever is larger. */
export function usedShare({ capacity, used }: PoolUsage): number {
  return Math.max(
    used.cpuMillis / Math.max(1, capacity.cpuMillis),
    used.memoryMb / Math.max(1, capacity.memoryMb),
  );
}
