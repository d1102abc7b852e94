/** Describes a session to the computation of the pool's demand for hosts. */
import {
  addResources,
  noResources,
  reservedResources,
  stepName,
} from "../batch/index.ts";
import type { PoolEndpoint } from "../capacity/index.ts";
import type { EndpointSession } from "./endpoint_session.ts";

/**
 * Returns the state of a session's endpoint at the monotonic time `now` (ms). An
 * endpoint that is vacated for maintenance is not open, so that the hosts that
 * replace it do not count as surplus.
 */
export function toPoolEndpoint(
  session: EndpointSession,
  isVacated: boolean,
  now: number,
  awaitsVacate = false,
): PoolEndpoint {
  const { endpoint, runs, used } = session;
  return {
    id: endpoint.id,
    capacity: endpoint.capacity,
    used,
    usedByLongRunning: [...runs.values()]
      .filter(({ step }) => step.longRunning)
      .map(({ step }) => reservedResources(step))
      .reduce(addResources, noResources),
    labels: endpoint.labels,
    isOpen: session.isOpen && !isVacated,
    isSetAside: session.mayHideEnds,
    runCount: runs.size,
    hasLongRunningRuns: [...runs.values()].some((r) => r.step.longRunning),
    awaitsVacate,
    budgets: budgetsOf(session),
    silentMs: session.silentMs(now),
  };
}

/** Availability budgets of the steps that run on an endpoint, by step name. */
function budgetsOf({ runs }: EndpointSession): ReadonlyMap<string, number> {
  const budgets = new Map<string, number>();
  for (const { job, ref, step } of runs.values()) {
    if (step.maxUnavailable === undefined) continue;
    budgets.set(stepName(job, ref), step.maxUnavailable);
  }
  return budgets;
}

/** Endpoints that are vacated now, and those that are vacated later in a wave. */
export interface VacatedEndpoints {
  readonly vacating: () => ReadonlyMap<string, unknown>;
  readonly plannedVacates: () => ReadonlySet<string>;
}

/** Returns the states of all endpoints of a pool at the time `now` (ms). */
export function toPoolEndpoints(
  sessions: readonly EndpointSession[],
  vacated: VacatedEndpoints,
  now: number,
): readonly PoolEndpoint[] {
  const vacating = vacated.vacating();
  const planned = vacated.plannedVacates();
  return sessions.map((session) => {
    const { id } = session.endpoint;
    return toPoolEndpoint(session, vacating.has(id), now, planned.has(id));
  });
}
