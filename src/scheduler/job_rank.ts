/** Ranks and due work of the jobs that a shard's owner has booked. */
import { isLongRunning, isStepDone } from "../batch/index.ts";
import type { DueWork } from "./feasible.ts";
import type { BookedJob } from "./job_book.ts";
import { onTimeTier, type Rank, rankOf } from "./order.ts";
import type { RunTimes } from "./run_times.ts";

/** Share of a run's work that is left on average while it runs. */
const runningShare = 0.5;

/** Names an occurrence of a job among all. */
export function occurrenceKey(job: string, occurrence: number): string {
  return `${job}.${occurrence}`;
}

/** The rank of a booked job's occurrence at the wall-clock time `wall`. */
export function rankOfJob(
  { spec, progress }: BookedJob,
  occurrence: number,
  wall: number,
  times: RunTimes,
): Rank {
  const tasks = progress.open.get(occurrence);
  return rankOf(spec, occurrence, {
    now: wall,
    expectedMs: (step) => times.expectedMs(spec.queue, step),
    isDone: (step) => tasks !== undefined && isStepDone(tasks, step),
  });
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
