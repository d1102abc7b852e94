/**
 * How many hosts a shard's jobs ask for, now and when a host that is ordered
 * now has arrived.
 *
 * The need of the moment is the room of all tasks that run or could start.
 * The need ahead is the work that arrives in a second: a surge shows in the
 * arrivals before its tasks have piled up.
 */
import {
  isFinal,
  isStepReady,
  type JobSpec,
  type Resources,
  startableTasks,
} from "../batch/index.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import type { BookedJob } from "./job_book.ts";
import { addResources, roomOf } from "./place.ts";

/** Share of a host that can be filled, as tasks leave gaps. */
const fillShare = 0.85;

/** Hosts that a pool keeps beyond its need, for the next jobs. */
const reserveHosts = 1;

/** Fewest hosts of a pool. */
const minHosts = 2;

/** Time over which arriving work is measured, in ms. */
const arrivalWindowMs = 800;

/** Arrivals in the window that make a rate; fewer are single jobs. */
const minArrivals = 3;

/** Weight of the newest run in the mean run time of a queue. */
const runTimeWeight = 0.1;

const nothing: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

interface Arrival {
  readonly at: number;
  /** Thousandths of a core times ms. */
  readonly work: number;
}

/** Work that arrives, by what tasks of the queue have taken so far. */
export class ArrivalRate {
  #arrivals: Arrival[] = [];
  /** Mean time that tasks of a queue have run, in ms. */
  readonly #runMs = new Map<string, number>();

  /** Notes a job that has just been accepted. */
  arrived(spec: JobSpec, now: number): void {
    const runMs = this.#runMs.get(spec.queue);
    const work = spec.steps.reduce((sum, step) => {
      if (step.longRunning || step.filler) return sum;
      const each = runMs ?? step.estimateMs;
      return sum + step.count * step.demand.cpuMillis * each;
    }, 0);
    this.#arrivals.push({ at: now, work });
  }

  /** Notes how long a task took. */
  ran(queue: string, ms: number): void {
    const known = this.#runMs.get(queue) ?? ms;
    this.#runMs.set(queue, known + (ms - known) * runTimeWeight);
  }

  /** Mean run time of a queue's tasks in ms; undefined before the first. */
  runMs(queue: string): number | undefined {
    return this.#runMs.get(queue);
  }

  /** Processor that the arriving work keeps busy, in thousandths of a core. */
  cpuMillis(now: number): number {
    this.#arrivals = this.#arrivals.filter((a) =>
      now - a.at <= arrivalWindowMs
    );
    if (this.#arrivals.length < minArrivals) return 0;
    const work = this.#arrivals.reduce((sum, a) => sum + a.work, 0);
    return work / arrivalWindowMs;
  }
}

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

/** Hosts that a shard's jobs ask for. */
export function hostsWanted(
  jobs: readonly BookedJob[],
  sessions: readonly EndpointSession[],
  arrivingCpuMillis: number,
): number {
  const running = sessions.reduce(
    (sum, s) => addResources(sum, s.used),
    nothing,
  );
  const room = addResources(running, waitingRoom(jobs));
  const capacity = sessions[0]?.endpoint.capacity;
  const spread = minEndpoints(jobs);
  if (capacity === undefined) return Math.max(minHosts, spread);
  const cpu = Math.max(room.cpuMillis, arrivingCpuMillis);
  const byCpu = cpu / Math.max(1, capacity.cpuMillis * fillShare);
  const byMemory = room.memoryMb / Math.max(1, capacity.memoryMb * fillShare);
  const needed = Math.ceil(Math.max(byCpu, byMemory, spread));
  return Math.max(minHosts, needed + reserveHosts);
}
