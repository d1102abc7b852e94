/**
 * Watches a simulation for work that stands still beside free capacity, the part
 * of LOST that shows only while time passes. It sees what endpoints run, and which
 * jobs callers have submitted; it shares no state with the code under test.
 *
 * Work whose workspace uses half of its limit or more is not judged.
 *
 * - After the traffic, and the time that the service then has to finish: for 3 s
 *   a job has no run although a task's turn has come, the pool has capacity for
 *   the task twice over, and under half of the pool's CPU is in use.
 * - At any time, for a task that lasts, from 6 s after its last run: the same for
 *   this task alone, however full the pool is, if the 3 s and the 4 s before them
 *   are calm.
 *
 * Times are of the virtual clock, in ms.
 */
import type { JobSpec, StepSpec } from "../src/batch/index.ts";
import type { RunRecord } from "./final_checks.ts";
import type { ModelEndpoint } from "./model_endpoint.ts";

/** Interval of the watch, in ms. */
const sampleMs = 100;

/** Time for which work may stand still, in ms. */
const maxStillMs = 3_000;

/** Time before those 3 s that has to be calm for a task that lasts, in ms. */
const calmBeforeMs = 4_000;

/** Time from the end of a lasting task's run from which it is judged, in ms. */
const restartGraceMs = 6_000;

/** Time from the end of the traffic from which jobs are judged, in ms. */
const finishMs = 14_000;

/** Times that the capacity has to suffice for a task that stands still. */
const sparePlaces = 2;

/** Share of a pool's CPU in use from which a job that waits is not judged. */
const busyShare = 0.5;

/** What the watch sees of the simulation. */
export interface WatchedSimulation {
  now(): number;
  after(ms: number, callback: () => void): unknown;
  /** Accepted jobs that no caller has cancelled. */
  openJobs(): readonly JobSpec[];
  /** Name of the pool that runs a job. */
  poolOf(job: JobSpec): string;
  runsOf(task: string): readonly RunRecord[];
  /** Endpoints that are up in a pool. */
  endpointsIn(pool: string): readonly ModelEndpoint[];
  /** Whether the workspace of a job, if any, uses under half of its limit. */
  hasRoomInLimit(job: JobSpec): boolean;
  /** Whether a disturbance is going on. */
  isDisturbed(): boolean;
  report(rule: string, text: string): void;
}

/** A period in which some work has stood still. */
export interface StillPeriod {
  /** The job, or the task if it lasts. */
  readonly subject: string;
  readonly since: number;
  until: number;
  /** Whether the period breaks LOST. */
  isReported: boolean;
}

/** CPU in use of some endpoints, as a share of their capacity. */
function usedShare(endpoints: readonly ModelEndpoint[]): number {
  const total = endpoints.reduce(
    (sum, { info }) => sum + info.capacity.cpuMillis,
    0,
  );
  const free = endpoints.reduce((sum, each) => sum + each.freeCpuMillis, 0);
  return total === 0 ? 1 : 1 - free / total;
}

/** Number of tasks of a step that an endpoint has room for. */
function placesAt(
  endpoint: ModelEndpoint,
  step: StepSpec,
  stepName: string,
): number {
  const { cpuMillis } = step.demand;
  const room = Math.floor(endpoint.freeCpuMillis / Math.max(1, cpuMillis));
  if (step.maxPerEndpoint <= 0) return room;
  const present = [...endpoint.runs.values()]
    .filter(({ task }) => task.startsWith(`${stepName}.`)).length;
  return Math.min(room, step.maxPerEndpoint - present);
}

/** Watches one simulation; {@link start} begins it. */
export class LostWatch {
  /** Periods in which work stood still beside free capacity. */
  readonly periods: StillPeriod[] = [];
  readonly #still = new Map<string, StillPeriod>();
  #lastDisturbedAt = 0;
  #trafficEndedAt = Infinity;

  constructor(private readonly sim: WatchedSimulation) {}

  /** Begins the watch. */
  start(): void {
    this.#lastDisturbedAt = this.sim.now();
    this.#scheduleSample();
  }

  /** Tells that no caller sends jobs any more. */
  endTraffic(): void {
    this.#trafficEndedAt = this.sim.now();
  }

  #scheduleSample(): void {
    this.sim.after(sampleMs, () => {
      this.#sample();
      this.#scheduleSample();
    });
  }

  #sample(): void {
    const { sim } = this;
    if (sim.isDisturbed()) this.#lastDisturbedAt = sim.now();
    const still = new Set<string>();
    for (const job of sim.openJobs()) {
      for (const subject of this.#stillSubjects(job)) {
        still.add(subject);
        this.#extend(subject, job);
      }
    }
    for (const subject of this.#still.keys()) {
      if (!still.has(subject)) this.#still.delete(subject);
    }
  }

  /** The job if it stands still, and each of its lasting tasks that does. */
  #stillSubjects(job: JobSpec): readonly string[] {
    if (!this.sim.hasRoomInLimit(job)) return [];
    const tasks = this.#dueTasks(job).filter(({ step, name }) =>
      this.#hasSpareCapacity(job, step, name)
    );
    const lasting = tasks.filter(({ step }) => step.longRunning)
      .map(({ name }) => name);
    const isStill = tasks.length > lasting.length && !this.#hasRun(job);
    return isStill ? [job.id, ...lasting] : lasting;
  }

  /** Records that a subject still stands still, and judges it. */
  #extend(subject: string, job: JobSpec): void {
    const now = this.sim.now();
    let period = this.#still.get(subject);
    if (period === undefined) {
      period = { subject, since: now, until: now, isReported: false };
      this.#still.set(subject, period);
      this.periods.push(period);
    }
    period.until = now;
    if (period.isReported || !this.#isBroken(period, job)) return;
    period.isReported = true;
    const stillMs = Math.round(now - period.since);
    this.sim.report("LOST", `${subject} stands still for ${stillMs} ms`);
  }

  /** Whether a period breaks the rule now. */
  #isBroken({ subject, since }: StillPeriod, job: JobSpec): boolean {
    const now = this.sim.now();
    if (subject === job.id) {
      const from = Math.max(since, this.#trafficEndedAt + finishMs);
      const endpoints = this.sim.endpointsIn(this.sim.poolOf(job));
      return now - from >= maxStillMs && usedShare(endpoints) < busyShare;
    }
    const lastEnd = this.sim.runsOf(subject).at(-1)?.endedAt ?? since;
    const from = Math.max(since, lastEnd + restartGraceMs);
    const calmMs = now - this.#lastDisturbedAt;
    return now - from >= maxStillMs && calmMs >= maxStillMs + calmBeforeMs;
  }

  /** The tasks of a job whose turn has come, and that neither run nor are done. */
  #dueTasks(job: JobSpec): readonly { name: string; step: StepSpec }[] {
    if (job.schedule !== undefined) return [];
    const namesOf = (s: number) =>
      Array.from(
        { length: job.steps[s].count },
        (_, i) => `${job.id}.0.${s}.${i}`,
      );
    const isOver = (s: number) =>
      namesOf(s).every((name) => this.#isDone(name));
    if (job.steps.some((_, s) => this.#isExhausted(job, namesOf(s)))) return [];
    return job.steps.flatMap((step, s) => {
      if (!step.after.every(isOver)) return [];
      return namesOf(s).filter((name) =>
        !this.#isDone(name) && !this.#runs(name)
      )
        .map((name) => ({ name, step }));
    });
  }

  #hasRun(job: JobSpec): boolean {
    return job.steps.some((step, s) =>
      Array.from({ length: step.count }, (_, i) => i)
        .some((i) => this.#runs(`${job.id}.0.${s}.${i}`))
    );
  }

  /** Whether the pool has room for a task twice over; a gang needs it whole. */
  #hasSpareCapacity(job: JobSpec, step: StepSpec, name: string): boolean {
    const stepName = name.slice(0, name.lastIndexOf("."));
    const places = this.sim.endpointsIn(this.sim.poolOf(job))
      .map((endpoint) => placesAt(endpoint, step, stepName));
    const needed = sparePlaces * (step.gang ? step.count : 1);
    return places.reduce((sum, each) => sum + each, 0) >= needed;
  }

  #isDone(name: string): boolean {
    return this.sim.runsOf(name).some(({ end }) => end === "done");
  }

  #runs(name: string): boolean {
    return this.sim.runsOf(name).some(({ endedAt }) => endedAt === undefined);
  }

  /** Whether one of the tasks has failed as often as the job allows. */
  #isExhausted(job: JobSpec, names: readonly string[]): boolean {
    return names.some((name) => {
      const failed = this.sim.runsOf(name).filter(({ end }) =>
        end === "failed"
      );
      return failed.length >= job.maxAttempts;
    });
  }
}
