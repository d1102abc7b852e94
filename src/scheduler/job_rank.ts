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
const staleMs = 250;

/** Share of a run's work that is left on average while it runs. */
const runningShare = 0.5;

/** Names an occurrence of a job among all. */
export function occurrenceKey(job: string, occurrence: number): string {
  return `${job}.${occurrence}`;
}

/** Work of an occurrence's tasks, in thousandths of a core times ms. */
interface TaskWork {
  readonly running: number;
  readonly waiting: number;
  /** All of it, what is done included. */
  readonly whole: number;
}

/** What is expected of an occurrence as its tasks are. */
interface Expectation extends OccurrenceTimes, TaskWork {
  /** Wall-clock time at which it was worked out, in ms. */
  readonly at: number;
}

/**
 * Expectations by the value of an occurrence's tasks. Thousands of jobs wait
 * in an overload, and a pass looks at each of them; only those whose tasks
 * have changed are worked out again, and the others now and then, as run
 * times are learned.
 */
const expectations = new WeakMap<OccurrenceTasks, Expectation>();

function workOf(
  spec: JobSpec,
  tasks: OccurrenceTasks,
  times: RunTimes,
): TaskWork {
  let running = 0;
  let waiting = 0;
  let whole = 0;
  tasks.forEach((list, i) => {
    const step = spec.steps[i];
    const each = step.demand.cpuMillis * times.expectedMs(spec.queue, step);
    whole += list.length * each;
    for (const { done, placement } of list) {
      if (done) continue;
      if (placement !== undefined) running += runningShare * each;
      else waiting += each;
    }
  });
  return { running, waiting, whole };
}

function expectationOf(
  spec: JobSpec,
  occurrence: number,
  tasks: OccurrenceTasks,
  wall: number,
  times: RunTimes,
): Expectation {
  const known = expectations.get(tasks);
  if (known !== undefined && Math.abs(wall - known.at) < staleMs) return known;
  const found = timesOf(spec, occurrence, {
    expectedMs: (step) => times.expectedMs(spec.queue, step),
    isDone: (step) => step < tasks.length && isStepDone(tasks, step),
  });
  const next = { ...found, ...workOf(spec, tasks, times), at: wall };
  expectations.set(tasks, next);
  return next;
}

/** The rank of a booked job's occurrence at the wall-clock time `wall`. */
export function rankOfJob(
  { spec, progress }: BookedJob,
  occurrence: number,
  wall: number,
  times: RunTimes,
): Rank {
  const tasks = progress.open.get(occurrence) ?? [];
  const expected = expectationOf(spec, occurrence, tasks, wall, times);
  return rankAt(spec, expected, wall);
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
  const tasks = progress.open.get(occurrence);
  if (tasks === undefined) return undefined;
  const expected = expectationOf(spec, occurrence, tasks, wall, times);
  const { tier, finishBy } = rankAt(spec, expected, wall);
  if (tier !== onTimeTier) return undefined;
  const { running, waiting, whole: size } = expected;
  const key = occurrenceKey(spec.id, occurrence);
  const { queue, priority } = spec;
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
