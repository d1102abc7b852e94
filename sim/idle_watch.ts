/**
 * Watches for tasks that wait beside free capacity (rule LOST), from what
 * endpoints and callers observe.
 *
 * While the simulation is calm, a job must not have nothing running for 3 s while
 * one of its tasks could, its pool has capacity for the task twice over, and
 * under half of the pool is in use. Jobs are judged some time after the last
 * submission. Each long-running task is judged by itself, at any time and however
 * full the pool is.
 */
import {
  fitsInto,
  type JobSpec,
  reservedResources,
  type Resources,
  subtractResources,
  taskName,
} from "../src/batch/index.ts";
import type { BatchSimulation } from "./batch_simulation.ts";
import type { ModelEndpoint } from "./model_endpoint.ts";

/** Time for which a task must not wait beside free capacity, in ms. */
const maxWaitMs = 3_000;

/** Time without disturbances before that, in ms. */
const calmBeforeMs = 4_000;

/** Time after its last run from which a long-running task is judged, in ms. */
const restartMs = 6_000;

/** Time after the last submission from which jobs are judged, in ms. */
const settleMs = 14_000;

/** An endpoint that could take tasks, and what is free on it. */
interface FreeRoom {
  readonly labels: readonly string[];
  readonly free: Resources;
}

/** The endpoints of a pool that are up and in touch. */
interface PoolRoom {
  readonly endpoints: readonly FreeRoom[];
  /** Share of their CPU in use, 0 to 1. */
  readonly usedShare: number;
}

/** A task that could run and does not. */
interface WaitingTask {
  readonly name: string;
  readonly job: JobSpec;
  readonly step: number;
}

function usedOn({ runs }: ModelEndpoint): Resources {
  let used: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };
  for (const { model } of runs.values()) {
    const { cpuMillis, memoryMb, gpus } = reservedResources(model.step);
    used = {
      cpuMillis: used.cpuMillis + cpuMillis,
      memoryMb: used.memoryMb + memoryMb,
      gpus: used.gpus + gpus,
    };
  }
  return used;
}

/** Number of tasks that fit into free resources, 2 at most. */
function countFitting(demand: Resources, free: Resources): number {
  if (!fitsInto(demand, free)) return 0;
  return fitsInto(demand, subtractResources(free, demand)) ? 2 : 1;
}

/** Watches one simulation; `check` is called at short, even intervals. */
export class IdleWatch {
  /** Names of tasks or jobs that waited for too long, and when, in ms. */
  readonly found = new Map<string, number>();
  /** Time in ms since which each has waited beside free capacity. */
  readonly #waitingSince = new Map<string, number>();
  #disturbedAt = -Infinity;
  #submittedAt = -Infinity;

  constructor(private readonly sim: BatchSimulation) {}

  /** Notes that something is disturbed now. */
  noteDisturbance(): void {
    this.#disturbedAt = this.sim.clock.now();
  }

  /** Notes that a job was submitted now. */
  noteSubmission(): void {
    this.#submittedAt = this.sim.clock.now();
  }

  /** Looks at all jobs once. */
  check(): void {
    const { sim } = this;
    const now = sim.clock.now();
    const rooms = new Map<string, PoolRoom>();
    const seen = new Set<string>();
    for (const job of sim.jobSpecs.values()) {
      if (!sim.oracle.isOpen(job.id)) continue;
      const pool = job.queue.replace("-queue", "");
      const room = rooms.get(pool) ?? this.#roomOf(pool);
      rooms.set(pool, room);
      for (const key of this.#waitingBeside(job, room, now)) seen.add(key);
    }
    for (const key of this.#waitingSince.keys()) {
      if (!seen.has(key)) this.#waitingSince.delete(key);
    }
    for (const key of seen) this.#judge(key, now);
  }

  /** Notes a task or job that waits, and whether it has for too long. */
  #judge(key: string, now: number): void {
    const since = this.#waitingSince.get(key) ?? now;
    this.#waitingSince.set(key, since);
    const calmSince = this.#disturbedAt + calmBeforeMs;
    if (now - Math.max(since, calmSince) >= maxWaitMs) {
      if (!this.found.has(key)) this.found.set(key, now);
    }
  }

  /** What the endpoints of a pool have free. */
  #roomOf(pool: string): PoolRoom {
    const endpoints = this.sim.hosts
      .filter((host) => host.pool === pool && host.state === "up")
      .map(({ endpoint }) => endpoint)
      .filter((each) => each !== undefined && each.isUp && each.isReachable)
      .filter((each) => each !== undefined);
    let cpuMillis = 0;
    let usedCpuMillis = 0;
    const rooms = endpoints.map((endpoint) => {
      const { capacity, labels } = endpoint.info;
      const used = usedOn(endpoint);
      cpuMillis += capacity.cpuMillis;
      usedCpuMillis += used.cpuMillis;
      return { labels, free: subtractResources(capacity, used) };
    });
    return {
      endpoints: rooms,
      usedShare: usedCpuMillis / Math.max(1, cpuMillis),
    };
  }

  /** Keys of what waits of a job beside free capacity and is to be judged. */
  #waitingBeside(
    job: JobSpec,
    room: PoolRoom,
    now: number,
  ): readonly string[] {
    const waiting = this.#waitingTasks(job)
      .filter(({ step }) => this.#fitsTwice(job, step, room));
    const lasting = waiting
      .filter(({ step }) => job.steps[step].longRunning)
      .filter(({ name }) => this.#lastEndOf(name) + restartMs <= now)
      .map(({ name }) => name);
    const isSettled = now >= this.#submittedAt + settleMs;
    const others = waiting.filter(({ step }) => !job.steps[step].longRunning);
    const isIdle = others.length > 0 && isSettled && room.usedShare < 0.5 &&
      !this.#runsAnything(job);
    return isIdle ? [...lasting, job.id] : lasting;
  }

  /** Tasks whose turn has come and that don't run. */
  #waitingTasks(job: JobSpec): readonly WaitingTask[] {
    const isDone = (name: string) =>
      this.sim.oracle.runsOf(name).some((run) => run.end === "done");
    const namesOf = (step: number) =>
      Array.from(
        { length: job.steps[step].count },
        (_, index) => taskName(job.id, { occurrence: 0, step, index }),
      );
    const isStepDone = (step: number) => namesOf(step).every(isDone);
    return job.steps.flatMap(({ after }, step) =>
      after.every(isStepDone)
        ? namesOf(step)
          .filter((name) => !isDone(name) && !this.#runsTask(name))
          .map((name) => ({ name, job, step }))
        : []
    );
  }

  #runsTask(name: string): boolean {
    return this.sim.oracle.runsOf(name)
      .some((run) => run.endedAt === undefined);
  }

  /** Whether a task of the job runs on any endpoint. */
  #runsAnything({ id }: JobSpec): boolean {
    return this.sim.hosts.some(({ endpoint }) =>
      [...endpoint?.runs.values() ?? []]
        .some(({ task }) => task.startsWith(`${id}.`))
    );
  }

  /** Time at which the last run of a task ended, in ms; -Infinity for none. */
  #lastEndOf(name: string): number {
    const ends = this.sim.oracle.runsOf(name).map((run) => run.endedAt ?? 0);
    return Math.max(-Infinity, ...ends);
  }

  /** Whether the endpoints have room for two tasks of a step. */
  #fitsTwice(job: JobSpec, step: number, { endpoints }: PoolRoom): boolean {
    const { label, maxPerEndpoint } = job.steps[step];
    const demand = reservedResources(job.steps[step]);
    const fitting = endpoints
      .filter(({ labels }) => label === "" || labels.includes(label))
      .map(({ free }) => countFitting(demand, free))
      .map((count) => maxPerEndpoint > 0 ? Math.min(1, count) : count)
      .reduce((sum, count) => sum + count, 0);
    return fitting >= 2;
  }
}
