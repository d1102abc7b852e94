/**
 * Work that arrives at a shard, now and when a host that is ordered now is
 * ready for it.
 *
 * A surge rises within a few seconds, and a host takes about two to come; a
 * pool that follows what has arrived is late by that time all the way up. So
 * the rate is continued along its trend (a damped linear forecast), as far as
 * the spread of the jobs' sizes does not explain the growth. While it falls
 * the trend only makes up for the age of the measurement, because hosts can
 * be given away at once.
 */
import type { JobSpec } from "../batch/index.ts";
import type { RunTimes } from "./run_times.ts";

/** Least time over which arriving work is measured, in ms. */
const minWindowMs = 800;

/** Longest such time, in ms. */
const maxWindowMs = 2_500;

/** Arrivals in the window that make a rate; fewer are single jobs. */
const minArrivals = 3;

/**
 * Time from a change of the rate until the host that is ordered for it works,
 * in ms: the report, the move, and the registration.
 */
const hostLeadTimeMs = 2_000;

/**
 * Share of that time for which the trend is taken to go on: a surge that rises
 * for some seconds flattens towards its top.
 */
const trendDamping = 0.6;

/** Most by which a forecast exceeds the rate of the moment. */
const maxGrowth = 2.5;

interface Arrival {
  readonly arrivedAt: number;
  readonly queue: string;
  /** Thousandths of a core times ms. */
  readonly work: number;
  /** Longest expected run time of its tasks, in ms. */
  readonly longestMs: number;
}

/** The arrivals of one span of time. */
interface ArrivalTotals {
  readonly work: number;
  /** Sum of the squares, from which the spread of the sum is worked out. */
  readonly sumOfSquares: number;
  readonly count: number;
}

function totalsOf(arrivals: readonly Arrival[]): ArrivalTotals {
  let work = 0;
  let sumOfSquares = 0;
  for (const arrival of arrivals) {
    work += arrival.work;
    sumOfSquares += arrival.work ** 2;
  }
  return { work, sumOfSquares, count: arrivals.length };
}

/**
 * The growth from one span to the next; if it is positive, the part of it that
 * chance does not explain.
 */
function significantGrowth(
  previous: ArrivalTotals,
  recent: ArrivalTotals,
): number {
  const growth = recent.work - previous.work;
  if (growth <= 0) return growth;
  const spread = Math.sqrt(previous.sumOfSquares + recent.sumOfSquares);
  return Math.max(0, growth - spread);
}

/** Work that arrives, by how long tasks are expected to run. */
export class ArrivalRate {
  #arrivals: Arrival[] = [];

  constructor(private readonly times: RunTimes) {}

  /** Notes a job that has just been accepted. */
  arrived(spec: JobSpec, now: number): void {
    const { queue } = spec;
    let work = 0;
    let longestMs = 0;
    for (const step of spec.steps) {
      if (step.longRunning || step.filler) continue;
      const taskMs = this.times.expectedMs(queue, step);
      work += step.count * step.demand.cpuMillis * taskMs;
      longestMs = Math.max(longestMs, taskMs);
    }
    this.#arrivals.push({ arrivedAt: now, queue, work, longestMs });
  }

  /**
   * Processor that the arriving work will keep busy when a host that is
   * ordered now has come, in thousandths of a core.
   */
  cpuMillis(now: number): number {
    this.#arrivals = this.#arrivals.filter((a) =>
      now - a.arrivedAt <= 2 * maxWindowMs
    );
    const queues = new Set(this.#arrivals.map((a) => a.queue));
    return [...queues].reduce((sum, q) => sum + this.#forecast(q, now), 0);
  }

  /**
   * The work of long tasks is measured over a longer time, as it also keeps
   * hosts busy for longer.
   */
  #forecast(queue: string, now: number): number {
    const arrivals = this.#arrivals.filter((a) => a.queue === queue);
    const longestMs = Math.max(...arrivals.map((a) => a.longestMs));
    const windowMs = Math.min(maxWindowMs, Math.max(minWindowMs, longestMs));
    const age = (a: Arrival) => now - a.arrivedAt;
    const recent = totalsOf(arrivals.filter((a) => age(a) <= windowMs));
    if (recent.count < minArrivals) return 0;
    const previous = totalsOf(
      arrivals.filter((a) => age(a) > windowMs && age(a) <= 2 * windowMs),
    );
    const growth = significantGrowth(previous, recent) / windowMs;
    const horizonMs = windowMs / 2 +
      (growth > 0 ? trendDamping * hostLeadTimeMs : 0);
    const rate = recent.work / windowMs;
    const forecast = rate + growth * horizonMs / windowMs;
    return Math.min(maxGrowth * rate, Math.max(0, forecast));
  }
}
