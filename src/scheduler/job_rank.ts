/** Computes ranks and due work of the jobs that a shard's owner has read. */
import {
  isLongRunning,
  isStepDone,
  type JobSpec,
  type OccurrenceTasks,
} from "../batch/index.ts";
import type { DueWork } from "./overload.ts";
import type { TrackedJob } from "./job_registry.ts";
import {
  type OccurrenceTimes,
  occurrenceTimes,
  onTimeTier,
  type Rank,
  rankAt,
} from "./task_order.ts";
import type { RunTimes } from "./run_times.ts";

/** Time after which a cached estimate is computed again, in ms. */
const estimateLifetimeMs = 250;

/** Average share of its work that a running task still has to do. */
const remainingRunShare = 0.5;

/** Returns the key of a job's occurrence, unique among all jobs. */
export function occurrenceKey(job: string, occurrence: number): string {
  return `${job}.${occurrence}`;
}

/** Work of an occurrence's tasks, in thousandths of a core times ms. */
interface TaskWork {
  /** Remaining work of running tasks. */
  readonly running: number;
  /** Work of tasks that have not started. */
  readonly waiting: number;
  /** Work of all tasks, done ones included. */
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
  let running = 0;
  let waiting = 0;
  let total = 0;
  tasks.forEach((list, i) => {
    const step = spec.steps[i];
    const taskWork = step.demand.cpuMillis *
      runTimes.expectedMs(spec.queue, step);
    total += list.length * taskWork;
    for (const { done, placement } of list) {
      if (done) continue;
      if (placement !== undefined) running += remainingRunShare * taskWork;
      else waiting += taskWork;
    }
  });
  return { running, waiting, total };
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
  { spec, progress }: TrackedJob,
  occurrence: number,
  wall: number,
  runTimes: RunTimes,
): Rank {
  const tasks = progress.open.get(occurrence) ?? [];
  const estimate = estimateOf(spec, occurrence, tasks, wall, runTimes);
  return rankAt(spec, estimate, wall);
}

/** Due work with its queue; `size` is not relative to the queue's mean yet. */
interface QueuedWork extends DueWork {
  readonly queue: string;
}

/** Returns an occurrence's due work; undefined if it can't be on time. */
function dueWorkOfOccurrence(
  job: TrackedJob,
  occurrence: number,
  wall: number,
  runTimes: RunTimes,
): QueuedWork | undefined {
  const { spec, progress, randomFraction } = job;
  const tasks = progress.open.get(occurrence);
  if (tasks === undefined) return undefined;
  const estimate = estimateOf(spec, occurrence, tasks, wall, runTimes);
  const { tier, finishBy } = rankAt(spec, estimate, wall);
  if (tier !== onTimeTier) return undefined;
  const { running, waiting, total: size } = estimate;
  const key = occurrenceKey(spec.id, occurrence);
  const { queue, priority } = spec;
  return {
    key,
    queue,
    priority,
    finishBy,
    running,
    waiting,
    size,
    randomFraction,
  };
}

/**
 * Returns the due work of all occurrences that can still be on time, with sizes
 * relative to the mean of their queue. Long-running jobs have no due work.
 */
export function collectDueWork(
  jobs: Iterable<TrackedJob>,
  wall: number,
  runTimes: RunTimes,
): readonly DueWork[] {
  const works: QueuedWork[] = [];
  for (const job of jobs) {
    if (isLongRunning(job.spec)) continue;
    for (const occurrence of job.progress.open.keys()) {
      const work = dueWorkOfOccurrence(job, occurrence, wall, runTimes);
      if (work !== undefined) works.push(work);
    }
  }
  const sums = new Map<string, { total: number; count: number }>();
  for (const { queue, size } of works) {
    const sum = sums.get(queue) ?? { total: 0, count: 0 };
    sums.set(queue, { total: sum.total + size, count: sum.count + 1 });
  }
  return works.map((work) => {
    const { total, count } = sums.get(work.queue) ?? { total: 0, count: 0 };
    const mean = Math.max(1, total / Math.max(1, count));
    return { ...work, size: work.size / mean };
  });
}
