/** What the jobs of a shard ask of its pool, for the fleet's owner. */
import {
  isFinal,
  isStepReady,
  type Resources,
  startableTasks,
} from "../batch/index.ts";
import type { PoolDemand } from "../upkeep/index.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import type { BookedJob } from "./job_book.ts";
import { addResources, roomOf } from "./place.ts";

/** Most endpoints named as spare. */
const maxSpare = 16;

const nothing: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

/** Room that tasks without a place ask for. */
function waitingRoom(jobs: Iterable<BookedJob>): Resources {
  let sum = nothing;
  for (const { progress, spec } of jobs) {
    for (const ref of startableTasks(progress, spec)) {
      sum = addResources(sum, roomOf(spec.steps[ref.step]));
    }
  }
  return sum;
}

/** Fewest endpoints that the spreading of any step asks for. */
function minEndpoints(jobs: Iterable<BookedJob>): number {
  let most = 0;
  for (const { progress, spec } of jobs) {
    if (isFinal(progress.phase)) continue;
    for (const tasks of progress.open.values()) {
      spec.steps.forEach((step, i) => {
        if (step.maxPerEndpoint <= 0 || !isStepReady(spec, tasks, i)) return;
        const left = tasks[i].filter((task) => !task.done).length;
        most = Math.max(most, Math.ceil(left / step.maxPerEndpoint));
      });
    }
  }
  return most;
}

/** The demand of a shard's jobs. */
export function poolDemand(
  jobs: Iterable<BookedJob>,
  sessions: readonly EndpointSession[],
): PoolDemand {
  const all = [...jobs];
  const open = sessions.filter((s) => s.isOpen);
  const running = sessions.reduce(
    (sum, s) => addResources(sum, s.used),
    nothing,
  );
  const room = addResources(running, waitingRoom(all));
  const capacity = open[0]?.endpoint.capacity ?? nothing;
  const spare = open
    .filter((s) => [...s.runs.values()].every((r) => !r.step.longRunning))
    .sort((a, b) => a.runs.size - b.runs.size)
    .slice(0, maxSpare)
    .map((s) => s.endpoint.id);
  return {
    cpuMillis: Math.round(room.cpuMillis),
    memoryMb: Math.round(room.memoryMb),
    minEndpoints: minEndpoints(all),
    hostCpuMillis: capacity.cpuMillis,
    hostMemoryMb: capacity.memoryMb,
    spare,
  };
}
