/** Ranks and due work of the jobs that a shard's owner has booked. */
import {
  isLongRunning,
  isStepDone,
  type JobSpec,
  type OccurrenceTasks,
} from "../batch/index.ts";
import type { DueWork } from "./feasible.ts";
import type { BookedJob } from "./job_book.ts";
import {
  type OccurrenceTimes,
  onTimeTier,
  type Rank,
  rankAt,
  timesOf,
} from "./order.ts";
import type { RunTimes } from "./run_times.ts";

/** Time after which expected times are worked out anew, in ms. */
const estimateLifetimeMs = 250;

/** Share of a run's work that is left on average while it runs. */
const remainingRunShare = 0.5;

/** Names an occurrence of a job among all. */
export function occurrenceKey(job: string, occurrence: number): string {
  return `${job}.${occurrence}`;
}

/** Work of an occurrence's tasks, in thousandths of a core times ms. */
interface TaskWork {
  readonly running: number;
  readonly waiting: number;
  /** All of it, what is done included. */
  readonly total: number;
}

/** What is expected of an occurrence as its tasks are. */
interface OccurrenceEstimate extends OccurrenceTimes, TaskWork {
  /** Wall-clock time at which it was worked out, in ms. */
  readonly estimatedAt: number;
}

/**
 * Expectations by the value of an occurrence's tasks. Thousands of jobs wait
 * in an overload, and a pass looks at each of them; only those whose tasks
 * have changed are worked out again, and the others now and then, as run
 * times are learned.
 */
const estimates = new WeakMap<OccurrenceTasks, OccurrenceEstimate>();

function workOfTasks(
  spec: JobSpec,
  tasks: OccurrenceTasks,
  times: RunTimes,
): TaskWork {
  let running = 0;
  let waiting = 0;
  let total = 0;
  tasks.forEach((list, i) => {
    const step = spec.steps[i];
    const taskWork = step.demand.cpuMillis * times.expectedMs(spec.queue, step);
    total += list.length * taskWork;
    for (const { done, placement } of list) {
      if (done) continue;
      if (placement !== undefined) running += remainingRunShare * taskWork;
      else waiting += taskWork;
    }
  });
  return { running, waiting, total };
}

function estimateOf(
  spec: JobSpec,
  occurrence: number,
  tasks: OccurrenceTasks,
  wall: number,
  times: RunTimes,
): OccurrenceEstimate {
  const cached = estimates.get(tasks);
  if (
    cached !== undefined &&
    Math.abs(wall - cached.estimatedAt) < estimateLifetimeMs
  ) return cached;
  const timing = timesOf(spec, occurrence, {
    expectedMs: (step) => times.expectedMs(spec.queue, step),
    isDone: (step) => step < tasks.length && isStepDone(tasks, step),
  });
  const estimate = {
    ...timing,
    ...workOfTasks(spec, tasks, times),
    estimatedAt: wall,
  };
  estimates.set(tasks, estimate);
  return estimate;
}

/** The rank of a booked job's occurrence at the wall-clock time `wall`. */
export function rankOfJob(
  { spec, progress }: BookedJob,
  occurrence: number,
  wall: number,
  times: RunTimes,
): Rank {
  const tasks = progress.open.get(occurrence) ?? [];
  const estimate = estimateOf(spec, occurrence, tasks, wall, times);
  return rankAt(spec, estimate, wall);
}

interface QueuedWork extends DueWork {
  readonly queue: string;
}

/** Work of an occurrence that can still be on time, else undefined. */
function dueWorkOfOccurrence(
  job: BookedJob,
  occurrence: number,
  wall: number,
  times: RunTimes,
): QueuedWork | undefined {
  const { spec, progress, lot } = job;
  const tasks = progress.open.get(occurrence);
  if (tasks === undefined) return undefined;
  const estimate = estimateOf(spec, occurrence, tasks, wall, times);
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
    randomDraw: lot,
  };
}

/** Work of all jobs that can still be on time, with their relative sizes. */
export function collectDueWork(
  jobs: Iterable<BookedJob>,
  wall: number,
  times: RunTimes,
): readonly DueWork[] {
  const works: QueuedWork[] = [];
  for (const job of jobs) {
    if (isLongRunning(job.spec)) continue;
    for (const occurrence of job.progress.open.keys()) {
      const work = dueWorkOfOccurrence(job, occurrence, wall, times);
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
