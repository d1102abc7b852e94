/**
 * Forecasts the rate of work that arrives at a shard, for the time when a host
 * that is ordered now is ready.
 *
 * A surge rises within a few seconds, and a host takes about two seconds to
 * become ready. A pool sized by the measured rate would lag by that time during
 * the whole rise. So the rate is extrapolated along its trend (a damped linear
 * forecast), counting only growth beyond what the variance of job sizes
 * explains. While the rate falls, the trend only compensates for the age of the
 * measurement, because a host can be released without any lead time.
 *
 * Given the price of a ready core, the beginning of a surge after a quiet time is
 * extrapolated undamped, with the margin that pays at this price.
 */
import type { JobSpec } from "../batch/index.ts";
import type { RunTimeEstimates } from "./pool_state.ts";
import { readyMargin } from "./ready_margin.ts";
import { onsetGrowth } from "./surge_onset.ts";

/** Shortest window in which arriving work is measured, in ms. */
const minWindowMs = 800;

/** Longest window in which arriving work is measured, in ms. */
const maxWindowMs = 2_500;

/** Minimum arrivals in a window; fewer are single jobs without a forecast. */
const minArrivals = 3;

/**
 * Time from a change of the rate until a host that is ordered for it takes
 * tasks, in ms: the demand report, the move, and the registration.
 */
const hostLeadTimeMs = 2_000;

/**
 * Share of the lead time for which a rising trend is assumed to continue: a
 * surge that rises for some seconds flattens towards its peak.
 */
const trendDamping = 0.6;

/** Largest ratio of the forecast to the measured rate. */
const maxGrowth = 2.5;

/** The same ratio at the beginning of a surge. */
const maxOnsetGrowth = 6;

/** An accepted job. */
interface Arrival {
  /** Monotonic time of the arrival, in ms. */
  readonly arrivedAt: number;
  readonly queue: string;
  /** Expected work, in thousandths of a core times ms. */
  readonly work: number;
  /** Longest expected run time of its tasks, in ms. */
  readonly longestMs: number;
}

/** Sums over the arrivals of one window. */
interface ArrivalTotals {
  readonly work: number;
  /** Sum of the squared work, an estimate of the variance of the sum. */
  readonly sumOfSquares: number;
  readonly count: number;
}

/** Adds up the arrivals of one window. */
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
 * Returns the growth of the work from one window to the next. Positive growth is
 * reduced by one standard deviation, the part that chance may explain.
 */
function significantGrowth(
  previous: ArrivalTotals,
  recent: ArrivalTotals,
): number {
  const growth = recent.work - previous.work;
  if (growth <= 0) return growth;
  const standardDeviation = Math.sqrt(
    previous.sumOfSquares + recent.sumOfSquares,
  );
  return Math.max(0, growth - standardDeviation);
}

/** Measures and forecasts the rate of arriving work of each queue. */
export class ArrivalRate {
  #arrivals: Arrival[] = [];

  /** Margin at the beginning of a surge, in standard deviations. */
  readonly #margin: number | undefined;

  /**
   * @param readyPrice Core-seconds of work on time that a ready core-second
   *   costs; undefined if surges get no margin at their beginning.
   */
  constructor(
    private readonly runTimes: RunTimeEstimates,
    readyPrice?: number,
  ) {
    this.#margin = readyPrice === undefined
      ? undefined
      : readyMargin(readyPrice);
  }

  /** Records a job that was accepted at the monotonic time `now` (ms). */
  record(spec: JobSpec, now: number): void {
    const { queue } = spec;
    let work = 0;
    let longestMs = 0;
    for (const step of spec.steps) {
      if (step.longRunning || step.filler) continue;
      const taskMs = this.runTimes.expectedMs(queue, step);
      work += step.count * step.demand.cpuMillis * taskMs;
      longestMs = Math.max(longestMs, taskMs);
    }
    this.#arrivals.push({ arrivedAt: now, queue, work, longestMs });
  }

  /**
   * Returns the CPU capacity that arriving work will need when a host that is
   * ordered now is ready, in thousandths of a core.
   * @param now Monotonic time in ms.
   */
  forecastCpuMillis(now: number): number {
    this.#arrivals = this.#arrivals.filter((a) =>
      now - a.arrivedAt <= 2 * maxWindowMs
    );
    const queues = new Set(this.#arrivals.map((a) => a.queue));
    return [...queues].reduce((sum, q) => sum + this.#forecast(q, now), 0);
  }

  /**
   * Forecasts the rate of one queue. Long tasks are measured in a longer window,
   * because they also keep hosts busy for longer.
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
    const onset = this.#onsetForecast(previous, recent, windowMs);
    if (onset !== undefined) return onset;
    const growth = significantGrowth(previous, recent) / windowMs;
    const horizonMs = windowMs / 2 +
      (growth > 0 ? trendDamping * hostLeadTimeMs : 0);
    const rate = recent.work / windowMs;
    const forecast = rate + growth * horizonMs / windowMs;
    return Math.min(maxGrowth * rate, Math.max(0, forecast));
  }

  /**
   * Forecasts the rate at the beginning of a surge; undefined if none begins, or
   * no price of ready cores is known.
   */
  #onsetForecast(
    previous: ArrivalTotals,
    recent: ArrivalTotals,
    windowMs: number,
  ): number | undefined {
    if (this.#margin === undefined) return undefined;
    const growth = onsetGrowth(previous, recent, this.#margin);
    if (growth === undefined) return undefined;
    const rate = recent.work / windowMs;
    const windows = (windowMs / 2 + hostLeadTimeMs) / windowMs;
    const forecast = rate + Math.max(0, growth) / windowMs * windows;
    return Math.min(maxOnsetGrowth * rate, forecast);
  }
}
