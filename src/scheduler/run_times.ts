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
const newestWeight = 0.03;

/** Runs after which the memory is full. */
const fullMemory = Math.ceil(1 / newestWeight);

/** Least variance of a logarithm, so that equal runs leave weights finite. */
const minVariance = 0.01;

const momentsSchema = v.object({
  mean: v.number(),
  variance: v.number(),
  count: v.number(),
});
const learnedSchema = v.record(
  v.string(),
  v.object({ run: momentsSchema, factor: momentsSchema }),
);

type MomentsRow = v.InferOutput<typeof momentsSchema>;

/** Decimal places of stored logarithms; bytes of the store are paid for. */
const storedPlaces = 3;

function round(value: number): number {
  return Number(value.toFixed(storedPlaces));
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
    const count = Math.min(this.#count, fullMemory);
    const mean = round(this.#mean);
    return { mean, variance: round(this.#variance), count };
  }

  add(value: number): void {
    this.#count++;
    // Until the memory is full every value counts alike.
    const weight = Math.max(newestWeight, 1 / this.#count);
    const off = value - this.#mean;
    this.#mean += weight * off;
    this.#variance = (1 - weight) * (this.#variance + weight * off * off);
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

interface QueueTimes {
  /** Of the logarithm of the run time in ms. */
  readonly run: Moments;
  /** Of the logarithm of the run time by the estimate. */
  readonly factor: Moments;
}

/** Learned run times of one shard's queues. */
export class RunTimes {
  readonly #queues = new Map<string, QueueTimes>();

  /** The stored form of all that was learned. */
  encode(): string {
    const row: v.InferOutput<typeof learnedSchema> = {};
    for (const [queue, { run, factor }] of this.#queues) {
      row[queue] = { run: run.row, factor: factor.row };
    }
    return JSON.stringify(row);
  }

  /** Goes on with what an earlier owner learned; ignores what it can't read. */
  load(value: string): void {
    const row = parseJson(learnedSchema, value) ?? {};
    for (const [queue, { run, factor }] of Object.entries(row)) {
      const times = { run: new Moments(run), factor: new Moments(factor) };
      this.#queues.set(queue, times);
    }
  }

  /** Notes that a task of the step took `ms` from its start to its end. */
  ran(queue: string, step: StepSpec, ms: number): void {
    if (ms <= 0) return;
    const known = this.#queues.get(queue) ??
      { run: new Moments(), factor: new Moments() };
    this.#queues.set(queue, known);
    known.run.add(Math.log(ms));
    if (step.estimateMs > 0) known.factor.add(Math.log(ms / step.estimateMs));
  }

  /** Expected run time of a task of the step, in ms. */
  expectedMs(queue: string, step: StepSpec): number {
    const known = this.#queues.get(queue);
    if (known === undefined || known.run.count < minRuns) {
      return step.estimateMs;
    }
    const { run, factor } = known;
    const byHistory = 1 / run.variance;
    const usable = step.estimateMs > 0 && factor.count >= minRuns;
    const byEstimate = usable ? 1 / factor.variance : 0;
    const scaled = usable ? Math.log(step.estimateMs) + factor.mean : 0;
    const sum = byHistory + byEstimate;
    return Math.exp((run.mean * byHistory + scaled * byEstimate) / sum);
  }
}
