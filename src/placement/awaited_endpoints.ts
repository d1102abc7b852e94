/**
 * Tells for which endpoints a step waits that fits nowhere now: those on which
 * it fits once the runs that are expected to end soon have ended.
 *
 * A step that needs something else waits for none: a label that no endpoint
 * has, a further endpoint, a ticket, or more than any endpoint offers. It must
 * not hold up others.
 */
import {
  reservedResources,
  type Resources,
  type StepSpec,
  subtractResources,
} from "../batch/index.ts";
import type { EndpointCandidate } from "./endpoint_candidate.ts";

/** How often a demand fits into an amount of one resource. */
function timesIn(demand: number, free: number): number {
  return demand > 0 ? Math.floor(free / demand) : Infinity;
}

/** Number of tasks of the step that an endpoint can run beside `used`. */
function countFitting(
  step: StepSpec,
  { labels, capacity, sameStepCount }: EndpointCandidate,
  used: Resources,
): number {
  if (step.label !== "" && !labels.includes(step.label)) return 0;
  const demand = reservedResources(step);
  const free = subtractResources(capacity, used);
  const count = Math.min(
    timesIn(demand.cpuMillis, free.cpuMillis),
    timesIn(demand.memoryMb, free.memoryMb),
    timesIn(demand.gpus, free.gpus),
    step.maxPerEndpoint > 0 ? step.maxPerEndpoint - sameStepCount : Infinity,
  );
  return Math.max(0, count);
}

/**
 * Returns the endpoints for which a step waits. `eligible` are those that policy
 * allows for it, and `waiting` is the number of its waiting tasks. A gang waits
 * for endpoints only if all its members wait and fit there together.
 */
export function awaitedEndpoints(
  step: StepSpec,
  eligible: readonly EndpointCandidate[],
  waiting: number,
): readonly EndpointCandidate[] {
  const fitting = eligible.map((endpoint) => ({
    endpoint,
    count: countFitting(step, endpoint, endpoint.lastingUse),
  })).filter(({ count }) => count > 0);
  if (step.gang) {
    const room = fitting.reduce((sum, { count }) => sum + count, 0);
    if (waiting < step.count || room < step.count) return [];
  }
  return fitting.map(({ endpoint }) => endpoint);
}
