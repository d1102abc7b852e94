/** Computes ranks and pending starts of the jobs that a shard's owner has read. */
import {
  isLongRunning,
  isStepDone,
  isWaiting,
  type JobSpec,
  type OccurrenceTasks,
} from "../batch/index.ts";
import type { WaitingJob } from "./load_plan.ts";
import type { TrackedJob } from "../shard_jobs/index.ts";
import {
  lateBenefitFactor,
  lateTier,
  type OccurrenceTimes,
  occurrenceTimes,
  onTimeTier,
  type Rank,
  rankAt,
  remainingChainsMs,
} from "./task_order.ts";
import type { RunTimes } from "../runs/index.ts";
import type { Standing } from "./overload.ts";

/** Time after which a cached estimate is computed again, in ms. */
const estimateLifetimeMs = 250;

/**
 * Time before the latest start at which a task has to be placed, in ms. It
 * covers the commit of the placement, the order, and run times that are longer
 * than expected.
 */
const startMarginMs = 200;

/** Returns the key of a job's occurrence, unique among all jobs. */
export function occurrenceKey(job: string, occurrence: number): string {
  return `${job}.${occurrence}`;
}

/** The waiting tasks of one step. */
interface WaitingWork {
  /** Expected time from their start to the end of the occurrence, in ms. */
  readonly chainMs: number;
  /** CPU that they need at the same time, in thousandths of a core. */
  readonly cpuMillis: number;
  /** Memory that they need at the same time, in MB. */
  readonly memoryMb: number;
  /** Their work, in thousandths of a core times ms. */
  readonly work: number;
}

/** Work of an occurrence's tasks. */
interface TaskWork {
  /** Waiting tasks by step, without steps that have none. */
  readonly waiting: readonly WaitingWork[];
  /** Work of all tasks, done ones included, in thousandths of a core times ms. */
  readonly total: number;
}

/** Estimated times and work of an occurrence with its present tasks. */
interface OccurrenceEstimate extends OccurrenceTimes, TaskWork {
  /** Wall-clock time at which the estimate was made, in ms. */
  readonly estimatedAt: number;
}

/**
 * Cache of estimates, by the immutable task list of the occurrence. In an
 * overload a pass visits thousands of waiting jobs. Only those whose tasks have
 * changed are estimated again at once; the others after `estimateLifetimeMs`,
 * because expected run times change as tasks end.
 */
const estimates = new WeakMap<OccurrenceTasks, OccurrenceEstimate>();

/** Adds up the work of an occurrence's tasks. */
function workOfTasks(
  spec: JobSpec,
  tasks: OccurrenceTasks,
  runTimes: RunTimes,
): TaskWork {
  const expectedMs = spec.steps.map((s) => runTimes.expectedMs(spec.queue, s));
  const chainsMs = remainingChainsMs(spec.steps, (_, i) => expectedMs[i]);
  const waiting: WaitingWork[] = [];
  let total = 0;
  tasks.forEach((list, i) => {
    const { demand } = spec.steps[i];
    total += list.length * demand.cpuMillis * expectedMs[i];
    const count = list.filter(isWaiting).length;
    const cpuMillis = count * demand.cpuMillis;
    if (cpuMillis === 0) return;
    const memoryMb = count * demand.memoryMb;
    const work = cpuMillis * expectedMs[i];
    waiting.push({ chainMs: chainsMs[i], cpuMillis, memoryMb, work });
  });
  return { waiting, total };
}

/** Returns the estimate of an occurrence, from the cache if it is recent. */
function estimateOf(
  spec: JobSpec,
  occurrence: number,
  tasks: OccurrenceTasks,
  wall: number,
  runTimes: RunTimes,
): OccurrenceEstimate {
  const cached = estimates.get(tasks);
  if (
    cached !== undefined &&
    Math.abs(wall - cached.estimatedAt) < estimateLifetimeMs
  ) return cached;
  const timing = occurrenceTimes(spec, occurrence, {
    expectedMs: (step) => runTimes.expectedMs(spec.queue, step),
    isDone: (step) => step < tasks.length && isStepDone(tasks, step),
  });
  const estimate = {
    ...timing,
    ...workOfTasks(spec, tasks, runTimes),
    estimatedAt: wall,
  };
  estimates.set(tasks, estimate);
  return estimate;
}

/** Returns the rank of a job's occurrence at the wall-clock time `wall` (ms). */
export function rankOfJob(
  { spec, progress }: Pick<TrackedJob, "spec" | "progress">,
  occurrence: number,
  wall: number,
  runTimes: RunTimes,
): Rank {
  const tasks = progress.open.get(occurrence) ?? [];
  const estimate = estimateOf(spec, occurrence, tasks, wall, runTimes);
  return rankAt(spec, estimate, wall);
}

/** A job with waiting tasks, before sizes are relative to its queue's mean. */
interface QueuedJob extends WaitingJob {
  readonly queue: string;
}

/** The jobs that have to start tasks, and the mix of these tasks. */
export interface WaitingJobs {
  readonly jobs: readonly WaitingJob[];
  /** Mean run time of their waiting tasks, weighted by CPU, in ms. */
  readonly runMs: number;
  /** Memory of their waiting tasks for each thousandth of a core, in MB. */
  readonly memoryPerCpu: number;
  /** Mean work of all jobs by queue, in thousandths of a core times ms. */
  readonly meanWork: ReadonlyMap<string, number>;
}

/** Adds up the waiting tasks of several occurrences. */
class WaitingTotals {
  #work = 0;
  #cpuMillis = 0;
  #memoryMb = 0;

  /** Adds the waiting tasks of one occurrence. */
  add(waiting: readonly WaitingWork[]): void {
    for (const { work, cpuMillis, memoryMb } of waiting) {
      this.#work += work;
      this.#cpuMillis += cpuMillis;
      this.#memoryMb += memoryMb;
    }
  }

  /** Mean run time, weighted by CPU, in ms. */
  get runMs(): number {
    return this.#work / Math.max(1, this.#cpuMillis);
  }

  /** Memory for each thousandth of a core, in MB. */
  get memoryPerCpu(): number {
    return this.#memoryMb / Math.max(1, this.#cpuMillis);
  }
}

/** Returns the mean work of the jobs by queue; 1 at least. */
function meanWorkByQueue(
  jobs: readonly QueuedJob[],
): ReadonlyMap<string, number> {
  const sums = new Map<string, { total: number; count: number }>();
  for (const { queue, size } of jobs) {
    const sum = sums.get(queue) ?? { total: 0, count: 0 };
    sums.set(queue, { total: sum.total + size, count: sum.count + 1 });
  }
  return new Map(
    [...sums].map(([queue, { total, count }]) => [
      queue,
      Math.max(1, total / count),
    ]),
  );
}

/** Returns how the workspace of a job stands. */
export type StandingOf = (job: TrackedJob) => Standing;

/**
 * Returns the occurrences that can still earn a benefit and have waiting tasks.
 * Long-running jobs are left out.
 */
export function collectWaitingJobs(
  jobs: Iterable<TrackedJob>,
  wall: number,
  runTimes: RunTimes,
  standingOf: StandingOf,
): WaitingJobs {
  const found: QueuedJob[] = [];
  const totals = new WaitingTotals();
  for (const job of jobs) {
    const { spec, progress, randomFraction } = job;
    if (isLongRunning(spec)) continue;
    const { id, queue, priority } = spec;
    for (const [occurrence, tasks] of progress.open) {
      const estimate = estimateOf(spec, occurrence, tasks, wall, runTimes);
      const { tier, finishBy } = rankAt(spec, estimate, wall);
      const { waiting, total: size, releaseAt, objective } = estimate;
      if (tier > lateTier || waiting.length === 0) continue;
      totals.add(waiting);
      const startsFor = (endBy: number) =>
        waiting.map(({ chainMs, work }) => ({
          startBy: endBy - chainMs - startMarginMs,
          work,
        }));
      found.push({
        key: occurrenceKey(id, occurrence),
        queue,
        priority,
        standing: standingOf(job),
        onTimeStarts: tier === onTimeTier ? startsFor(finishBy) : undefined,
        lateStarts: startsFor(releaseAt + lateBenefitFactor * objective),
        size,
        randomFraction,
      });
    }
  }
  const meanWork = meanWorkByQueue(found);
  const { runMs, memoryPerCpu } = totals;
  const relative = found.map((job) => ({
    ...job,
    size: job.size / (meanWork.get(job.queue) ?? 1),
  }));
  return { jobs: relative, runMs, memoryPerCpu, meanWork };
}
