/**
 * Computes how many hosts a shard's jobs need, now and when a host that is
 * ordered now is ready.
 *
 * The present need is the resources of all tasks that run or could start. Jobs
 * that can no longer be on time count for a fraction, so that they don't keep
 * hosts that on-time work of another pool needs. The future need is the forecast
 * of arriving work: a surge shows in the arrivals before its tasks queue up.
 *
 * A task that is larger than every known host counts for nothing, as no further
 * host would help it.
 */
import {
  addResources,
  type JobProgress,
  type JobSpec,
  multiplyResources,
  noResources,
  type ReadyStep,
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

/** Share of the CPU and memory of late tasks that counts for a pool's need. */
export const lateWorkWeight = 0.25;

/**
 * Returns whether a task of a size fits on a known host. GPUs are left out: hosts
 * with some may be in standby, where they are not known.
 */
function fitsKnownHost(
  { cpuMillis, memoryMb }: Resources,
  knownHosts: readonly Resources[],
): boolean {
  return knownHosts.some((host) =>
    cpuMillis <= host.cpuMillis && memoryMb <= host.memoryMb
  );
}

/** The ready steps of a job whose tasks fit on a known host. */
function runnableSteps(
  progress: JobProgress,
  spec: JobSpec,
  knownHosts: readonly Resources[],
): readonly ReadyStep[] {
  return readySteps(progress, spec).filter(({ step }) =>
    fitsKnownHost(reservedResources(spec.steps[step]), knownHosts)
  );
}

/** Input of {@link computeHostDemand}. */
export interface HostDemandInput {
  readonly jobs: readonly PoolJob[];
  /** Endpoints of the pool. */
  readonly endpoints: readonly PoolEndpoint[];
  /** Capacities of the hosts of all pools, as far as they are known. */
  readonly knownHosts: readonly Resources[];
  /** Forecast of arriving work, in thousandths of a core. */
  readonly arrivingCpuMillis: number;
  readonly isLate: IsLate;
}

/** Adds up the resources of open tasks, those of late jobs with a weight. */
function requestedResources(
  { jobs, knownHosts, isLate }: HostDemandInput,
): Resources {
  let onTime = noResources;
  let late = noResources;
  for (const job of jobs) {
    const { progress, spec } = job;
    const steps = runnableSteps(progress, spec, knownHosts);
    for (const { occurrence, step, open } of steps) {
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
function minEndpointsForSpread(
  { jobs, knownHosts }: HostDemandInput,
): number {
  let most = 0;
  for (const { progress, spec } of jobs) {
    for (const { step, open } of runnableSteps(progress, spec, knownHosts)) {
      const { maxPerEndpoint } = spec.steps[step];
      if (maxPerEndpoint <= 0) continue;
      most = Math.max(most, Math.ceil(open / maxPerEndpoint));
    }
  }
  return most;
}

/**
 * Returns the hosts that GPUs are needed for, as far as the pool has hosts with
 * some: a host without GPUs would not help.
 */
function hostsForGpus(
  gpus: number,
  endpoints: readonly PoolEndpoint[],
): number {
  const perHost = Math.max(0, ...endpoints.map((each) => each.capacity.gpus));
  return perHost > 0 ? gpus / perHost : 0;
}

/**
 * Returns the number of hosts that a shard needs. Hosts that are needed only to
 * spread tasks have free capacity, which counts as spare. Before an endpoint
 * has registered, the capacity of a host is unknown and only spreading counts.
 */
export function computeHostDemand(input: HostDemandInput): number {
  const requested = requestedResources(input);
  const capacity = input.endpoints[0]?.capacity;
  const spreadHosts = minEndpointsForSpread(input);
  if (capacity === undefined) return Math.max(minHosts, spreadHosts);
  const spare = multiplyResources(capacity, spareHosts);
  const cpu = Math.max(requested.cpuMillis, input.arrivingCpuMillis) +
    spare.cpuMillis;
  const memory = requested.memoryMb + spare.memoryMb;
  const hostsForCpu = cpu / Math.max(1, capacity.cpuMillis * maxFillShare);
  const hostsForMemory = memory / Math.max(1, capacity.memoryMb * maxFillShare);
  const needed = Math.max(
    hostsForCpu,
    hostsForMemory,
    hostsForGpus(requested.gpus, input.endpoints),
    spreadHosts,
  );
  return Math.max(minHosts, Math.ceil(needed));
}
