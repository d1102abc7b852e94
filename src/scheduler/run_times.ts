/**
 * How long tasks of a queue are likely to run, learned from those that have
 * ended.
 *
 * Callers' estimates are far off, by a factor that differs from queue to
 * queue, and run times themselves vary. Both are taken as log-normal: one
 * prediction is the queue's own mean, the other the step's estimate times the
 * queue's mean factor. The two are joined by the inverse of their variances,
 * so a queue whose estimates say little goes by its history, and one whose
 * estimates are good goes by them.
 *
 * What was learned is stored, so that the next owner of the shard goes on
 * with it.
 */
import * as v from "valibot";
import type { StepSpec } from "../batch/index.ts";
import { parseJson } from "../store/index.ts";

/** Runs of a queue before its history counts. */
const minRuns = 8;

/**
 * Weight of the newest run in a queue's means: a memory of some 30 tasks, the
 * tasks of about four jobs.
 */
const smoothingWeight = 0.03;

/** Runs after which the memory is full. */
const smoothingCount = Math.ceil(1 / smoothingWeight);

/** Least variance of a logarithm, so that equal runs leave weights finite. */
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

/** Decimal places of stored logarithms; bytes of the store are paid for. */
const storedDecimals = 3;

function round(value: number): number {
  return Number(value.toFixed(storedDecimals));
}

/** Exponentially weighted mean and variance. */
class Moments {
  #mean: number;
  #variance: number;
  #count: number;

  constructor(stored: MomentsRow = { mean: 0, variance: 0, count: 0 }) {
    this.#mean = stored.mean;
    this.#variance = stored.variance;
    this.#count = stored.count;
  }

  /** The stored form. */
  get row(): MomentsRow {
    const count = Math.min(this.#count, smoothingCount);
    const mean = round(this.#mean);
    return { mean, variance: round(this.#variance), count };
  }

  add(value: number): void {
    this.#count++;
    // Until the memory is full every value counts alike.
    const weight = Math.max(smoothingWeight, 1 / this.#count);
    const deviation = value - this.#mean;
    this.#mean += weight * deviation;
    this.#variance = (1 - weight) *
      (this.#variance + weight * deviation * deviation);
  }

  get count(): number {
    return this.#count;
  }

  get mean(): number {
    return this.#mean;
  }

  get variance(): number {
    return Math.max(minVariance, this.#variance);
  }
}

interface QueueHistory {
  /** Of the logarithm of the run time in ms. */
  readonly run: Moments;
  /** Of the logarithm of the run time by the estimate. */
  readonly factor: Moments;
}

/** Learned run times of one shard's queues. */
export class RunTimes {
  readonly #queues = new Map<string, QueueHistory>();

  /** The stored form of all that was learned. */
  encode(): string {
    const row: v.InferOutput<typeof runTimesSchema> = {};
    for (const [queue, { run, factor }] of this.#queues) {
      row[queue] = { run: run.row, factor: factor.row };
    }
    return JSON.stringify(row);
  }

  /** Goes on with what an earlier owner learned; ignores what it can't read. */
  load(value: string): void {
    const row = parseJson(runTimesSchema, value) ?? {};
    for (const [queue, { run, factor }] of Object.entries(row)) {
      const history = { run: new Moments(run), factor: new Moments(factor) };
      this.#queues.set(queue, history);
    }
  }

  /** Notes that a task of the step took `ms` from its start to its end. */
  ran(queue: string, step: StepSpec, ms: number): void {
    if (ms <= 0) return;
    const history = this.#queues.get(queue) ??
      { run: new Moments(), factor: new Moments() };
    this.#queues.set(queue, history);
    history.run.add(Math.log(ms));
    if (step.estimateMs > 0) history.factor.add(Math.log(ms / step.estimateMs));
  }

  /** Expected run time of a task of the step, in ms. */
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
