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

/**
 * Runs after which expected times are worked out anew: a small part of the
 * memory that they are averages over.
 */
const runsUntilStale = 4;

/** Share of a run's work that is left on average while it runs. */
const runningShare = 0.5;

/** Names an occurrence of a job among all. */
export function occurrenceKey(job: string, occurrence: number): string {
  return `${job}.${occurrence}`;
}

interface KnownTimes extends OccurrenceTimes {
  /** Revision of the run times that they were worked out from. */
  readonly revision: number;
}

/**
 * Times of occurrences by the value of their tasks. Thousands of jobs wait in
 * an overload, and a pass looks at each of them; only those whose tasks have
 * changed are worked out again.
 */
const knownTimes = new WeakMap<OccurrenceTasks, KnownTimes>();

function timesOfJob(
  spec: JobSpec,
  occurrence: number,
  tasks: OccurrenceTasks,
  times: RunTimes,
): OccurrenceTimes {
  const { revision } = times;
  const known = knownTimes.get(tasks);
  if (known !== undefined && revision - known.revision < runsUntilStale) {
    return known;
  }
  const found = timesOf(spec, occurrence, {
    expectedMs: (step) => times.expectedMs(spec.queue, step),
    isDone: (step) => step < tasks.length && isStepDone(tasks, step),
  });
  knownTimes.set(tasks, { ...found, revision });
  return found;
}

/** The rank of a booked job's occurrence at the wall-clock time `wall`. */
export function rankOfJob(
  { spec, progress }: BookedJob,
  occurrence: number,
  wall: number,
  times: RunTimes,
): Rank {
  const tasks = progress.open.get(occurrence) ?? [];
  return rankAt(spec, timesOfJob(spec, occurrence, tasks, times), wall);
}

interface SizedWork extends DueWork {
  readonly queue: string;
}

/** Work of an occurrence that can still be on time, else undefined. */
function dueWorkOf(
  job: BookedJob,
  occurrence: number,
  wall: number,
  times: RunTimes,
): SizedWork | undefined {
  const { spec, progress, lot } = job;
  const rank = rankOfJob(job, occurrence, wall, times);
  const tasks = progress.open.get(occurrence);
  if (rank.tier !== onTimeTier || tasks === undefined) return undefined;
  let running = 0;
  let waiting = 0;
  let size = 0;
  spec.steps.forEach((step, i) => {
    const each = step.demand.cpuMillis * times.expectedMs(spec.queue, step);
    for (const { done, placement } of tasks[i]) {
      size += each;
      if (done) continue;
      if (placement !== undefined) running += runningShare * each;
      else waiting += each;
    }
  });
  const key = occurrenceKey(spec.id, occurrence);
  const { queue, priority } = spec;
  const { finishBy } = rank;
  return { key, queue, priority, finishBy, running, waiting, size, lot };
}

/** Work of all jobs that can still be on time, with their relative sizes. */
export function dueWork(
  jobs: Iterable<BookedJob>,
  wall: number,
  times: RunTimes,
): readonly DueWork[] {
  const works: SizedWork[] = [];
  for (const job of jobs) {
    if (isLongRunning(job.spec)) continue;
    for (const occurrence of job.progress.open.keys()) {
      const work = dueWorkOf(job, occurrence, wall, times);
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
