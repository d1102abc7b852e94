/**
 * Predicts the run times of a queue's tasks from those that have ended.
 *
 * Callers' estimates are wrong by a factor that differs from queue to queue,
 * and run times themselves vary. Both the run time and the factor are modelled
 * as log-normal. One prediction is the queue's mean run time, the other is the
 * step's estimate times the queue's mean factor. They are combined with inverse
 * variance weights, so the prediction follows the history where estimates carry
 * little information, and the estimates where these are consistent.
 *
 * The statistics are stored, so that the next owner of the shard continues with
 * them.
 */
import * as v from "valibot";
import type { StepSpec } from "../batch/index.ts";
import { parseJson } from "../store/index.ts";

/** Number of runs from which a queue's statistics are used. */
const minRuns = 8;

/**
 * Weight of the newest run in a queue's moving averages: they span some 30
 * tasks, which are the tasks of about four jobs.
 */
const smoothingWeight = 0.03;

/** Number of runs after which the newest run has the fixed weight. */
const smoothingCount = Math.ceil(1 / smoothingWeight);

/** Minimum variance of a logarithm; keeps weights finite for equal runs. */
const minVariance = 0.01;

const momentsSchema = v.object({
  mean: v.number(),
  variance: v.number(),
  count: v.number(),
});
const runTimesSchema = v.record(
  v.string(),
  v.object({ run: momentsSchema, factor: momentsSchema }),
);

type MomentsRow = v.InferOutput<typeof momentsSchema>;

/** Decimal places of stored logarithms; each stored byte is billed. */
const storedDecimals = 3;

/** Rounds a number to its stored precision. */
function round(value: number): number {
  return Number(value.toFixed(storedDecimals));
}

/** Exponentially weighted moving mean and variance. */
class Moments {
  #mean: number;
  #variance: number;
  #count: number;

  constructor(stored: MomentsRow = { mean: 0, variance: 0, count: 0 }) {
    this.#mean = stored.mean;
    this.#variance = stored.variance;
    this.#count = stored.count;
  }

  /** The stored form, with rounded values. */
  get row(): MomentsRow {
    const count = Math.min(this.#count, smoothingCount);
    const mean = round(this.#mean);
    return { mean, variance: round(this.#variance), count };
  }

  /** Adds a value to the averages. */
  add(value: number): void {
    this.#count++;
    // All values have equal weights until there are `smoothingCount` of them.
    const weight = Math.max(smoothingWeight, 1 / this.#count);
    const deviation = value - this.#mean;
    this.#mean += weight * deviation;
    this.#variance = (1 - weight) *
      (this.#variance + weight * deviation * deviation);
  }

  /** Number of values that were added. */
  get count(): number {
    return this.#count;
  }

  /** Moving mean. */
  get mean(): number {
    return this.#mean;
  }

  /** Variance, at least `minVariance`. */
  get variance(): number {
    return Math.max(minVariance, this.#variance);
  }
}

/** Statistics of one queue. */
interface QueueHistory {
  /** Logarithm of the run time in ms. */
  readonly run: Moments;
  /** Logarithm of the ratio of run time to estimate. */
  readonly factor: Moments;
}

/** Run time statistics of one shard's queues. */
export class RunTimes {
  readonly #queues = new Map<string, QueueHistory>();

  /** Returns the statistics of all queues as JSON. */
  encode(): string {
    const row: v.InferOutput<typeof runTimesSchema> = {};
    for (const [queue, { run, factor }] of this.#queues) {
      row[queue] = { run: run.row, factor: factor.row };
    }
    return JSON.stringify(row);
  }

  /** Loads the JSON that an earlier owner stored; ignores an invalid value. */
  load(value: string): void {
    const row = parseJson(runTimesSchema, value) ?? {};
    for (const [queue, { run, factor }] of Object.entries(row)) {
      const history = { run: new Moments(run), factor: new Moments(factor) };
      this.#queues.set(queue, history);
    }
  }

  /** Records that a task of the step ran for `ms` from its start to its end. */
  record(queue: string, step: StepSpec, ms: number): void {
    if (ms <= 0) return;
    const history = this.#queues.get(queue) ??
      { run: new Moments(), factor: new Moments() };
    this.#queues.set(queue, history);
    history.run.add(Math.log(ms));
    if (step.estimateMs > 0) history.factor.add(Math.log(ms / step.estimateMs));
  }

  /** Returns the mean run time of a queue's tasks in ms; undefined at first. */
  meanMs(queue: string): number | undefined {
    const history = this.#queues.get(queue);
    return history === undefined || history.run.count < minRuns
      ? undefined
      : Math.exp(history.run.mean);
  }

  /** Returns the expected run time of a task of the step, in ms. */
  expectedMs(queue: string, step: StepSpec): number {
    const history = this.#queues.get(queue);
    if (history === undefined || history.run.count < minRuns) {
      return step.estimateMs;
    }
    const { run, factor } = history;
    const historyWeight = 1 / run.variance;
    const isEstimateUsable = step.estimateMs > 0 && factor.count >= minRuns;
    const estimateWeight = isEstimateUsable ? 1 / factor.variance : 0;
    const scaledLogEstimate = isEstimateUsable
      ? Math.log(step.estimateMs) + factor.mean
      : 0;
    const totalWeight = historyWeight + estimateWeight;
    return Math.exp(
      (run.mean * historyWeight + scaledLogEstimate * estimateWeight) /
        totalWeight,
    );
  }
}
