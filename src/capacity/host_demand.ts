/**
 * Computes how many hosts a shard's jobs need, now and when a host that is
 * ordered now is ready.
 *
 * The present need is the resources of all tasks that run or could start. Jobs
 * that can no longer be on time count for a fraction, so that they don't keep
 * hosts that on-time work of another pool needs. The future need is the forecast
 * of arriving work: a surge shows in the arrivals before its tasks queue up.
 */
import {
  addResources,
  multiplyResources,
  noResources,
  readySteps,
  reservedResources,
  type Resources,
} from "../batch/index.ts";
import type { IsLate, PoolEndpoint, PoolJob } from "./pool_state.ts";

/** Share of a host that tasks can fill; the rest is lost to fragmentation. */
const maxFillShare = 0.85;

/** Free capacity that a pool keeps for the next jobs, in hosts. */
const spareHosts = 1;

/** Minimum number of hosts of a pool. */
const minHosts = 2;

/** Weight of the CPU and memory of late jobs in the need of a pool. */
const lateWorkWeight = 0.25;

/** Adds up the resources of open tasks, those of late jobs with a weight. */
function requestedResources(
  jobs: readonly PoolJob[],
  isLate: IsLate,
): Resources {
  let onTime = noResources;
  let late = noResources;
  for (const job of jobs) {
    const { progress, spec } = job;
    for (const { occurrence, step, open } of readySteps(progress, spec)) {
      const resources = multiplyResources(
        reservedResources(spec.steps[step]),
        open,
      );
      if (isLate(job, occurrence)) late = addResources(late, resources);
      else onTime = addResources(onTime, resources);
    }
  }
  const weightedLate = multiplyResources(late, lateWorkWeight);
  return addResources(onTime, { ...weightedLate, gpus: late.gpus });
}

/** Returns the fewest endpoints that satisfy every step's `maxPerEndpoint`. */
function minEndpointsForSpread(jobs: Iterable<PoolJob>): number {
  let most = 0;
  for (const { progress, spec } of jobs) {
    for (const { step, open } of readySteps(progress, spec)) {
      const { maxPerEndpoint } = spec.steps[step];
      if (maxPerEndpoint <= 0) continue;
      most = Math.max(most, Math.ceil(open / maxPerEndpoint));
    }
  }
  return most;
}

/**
 * Returns the number of hosts that a shard needs. Hosts that are needed only to
 * spread tasks have free capacity, which counts as spare. `arrivingCpuMillis` is
 * the forecast of arriving work, in thousandths of a core. Before an endpoint
 * has registered, the capacity of a host is unknown and only spreading counts.
 */
export function computeHostDemand(
  jobs: readonly PoolJob[],
  endpoints: readonly PoolEndpoint[],
  arrivingCpuMillis: number,
  isLate: IsLate,
): number {
  const requested = requestedResources(jobs, isLate);
  const capacity = endpoints[0]?.capacity;
  const spreadHosts = minEndpointsForSpread(jobs);
  if (capacity === undefined) return Math.max(minHosts, spreadHosts);
  const spare = multiplyResources(capacity, spareHosts);
  const cpu = Math.max(requested.cpuMillis, arrivingCpuMillis) +
    spare.cpuMillis;
  const memory = requested.memoryMb + spare.memoryMb;
  const hostsForCpu = cpu / Math.max(1, capacity.cpuMillis * maxFillShare);
  const hostsForMemory = memory / Math.max(1, capacity.memoryMb * maxFillShare);
  const needed = Math.max(hostsForCpu, hostsForMemory, spreadHosts);
  return Math.max(minHosts, Math.ceil(needed));
}
