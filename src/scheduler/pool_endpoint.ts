/** Describes a session to the computation of the pool's demand for hosts. */
import type { PoolEndpoint } from "../capacity/index.ts";
import type { EndpointSession } from "./endpoint_session.ts";

/** Returns the state of a session's endpoint at the monotonic time `now` (ms). */
export function toPoolEndpoint(
  session: EndpointSession,
  now: number,
): PoolEndpoint {
  const { endpoint, isOpen, runs } = session;
  return {
    id: endpoint.id,
    capacity: endpoint.capacity,
    isOpen,
    runCount: runs.size,
    hasLongRunningRuns: [...runs.values()].some((r) => r.step.longRunning),
    silentMs: session.silentMs(now),
  };
}
