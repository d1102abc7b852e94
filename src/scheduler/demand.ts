/**
 * How many hosts a shard's jobs ask for, now and when a host that is ordered
 * now has arrived.
 *
 * The need of the moment is the room of all tasks that run or could start;
 * those of jobs that can no longer be on time count for little, so that they
 * don't hold hosts that on-time work of another pool needs. The need ahead is
 * the work that is going to arrive: a surge shows in the arrivals before its
 * tasks have piled up.
 */
import { readySteps, type Resources } from "../batch/index.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import type { BookedJob } from "./job_book.ts";
import { addResources, multiplyResources, roomOf } from "./place.ts";

/** Share of a host that can be filled, as tasks leave gaps. */
const maxFillShare = 0.85;

/** Hosts that a pool keeps beyond its need, for the next jobs. */
const reserveHosts = 2;

/** Fewest hosts of a pool. */
const minHosts = 2;

/** Share of its room for which the work of a late job counts. */
const lateWorkWeight = 0.25;

const noResources: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

/** Whether an occurrence of a job can no longer be on time. */
export type IsLate = (job: BookedJob, occurrence: number) => boolean;

/** Room of tasks that run or wait, late ones by a part of theirs. */
function requestedResources(
  jobs: readonly BookedJob[],
  isLate: IsLate,
): Resources {
  let onTime = noResources;
  let late = noResources;
  for (const job of jobs) {
    const { progress, spec } = job;
    for (const { occurrence, step, open } of readySteps(progress, spec)) {
      const resources = multiplyResources(roomOf(spec.steps[step]), open);
      if (isLate(job, occurrence)) late = addResources(late, resources);
      else onTime = addResources(onTime, resources);
    }
  }
  const weightedLate = multiplyResources(late, lateWorkWeight);
  return addResources(onTime, { ...weightedLate, gpus: late.gpus });
}

/** Fewest endpoints that the spreading of any step asks for. */
function minEndpointsForSpread(jobs: Iterable<BookedJob>): number {
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

/** Hosts that a shard's jobs ask for. */
export function hostsWanted(
  jobs: readonly BookedJob[],
  sessions: readonly EndpointSession[],
  arrivingCpuMillis: number,
  isLate: IsLate,
): number {
  const requested = requestedResources(jobs, isLate);
  const capacity = sessions[0]?.endpoint.capacity;
  const spreadHosts = minEndpointsForSpread(jobs);
  if (capacity === undefined) return Math.max(minHosts, spreadHosts);
  const cpu = Math.max(requested.cpuMillis, arrivingCpuMillis);
  const hostsForCpu = cpu / Math.max(1, capacity.cpuMillis * maxFillShare);
  const hostsForMemory = requested.memoryMb /
    Math.max(1, capacity.memoryMb * maxFillShare);
  const needed = Math.ceil(Math.max(hostsForCpu, hostsForMemory, spreadHosts));
  return Math.max(minHosts, needed + reserveHosts);
}
