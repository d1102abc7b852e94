/**
 * The outlook of a pool: the row in which the owner of its shard tells all
 * entries for which new jobs there is no room, and when there will be some.
 *
 * It is written only while jobs are unserved, the pool is full, and its capacity
 * has not grown for longer than a host takes to arrive. An entry believes a row
 * for a short time after it has heard of it, so an owner that has ended, is cut
 * off or stands still refuses nothing.
 */
import * as v from "valibot";
import type { JobSpec } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import { shardOfPool } from "../cluster/index.ts";
import { hash32 } from "../hash.ts";
import type { RowPut, StoreRowKey } from "../store/index.ts";
import { msUntilRoom, type NewJob } from "./load_plan.ts";
import type { PoolLoad } from "./deferred_jobs.ts";
import { lateBenefitFactor, occurrenceTimes } from "./task_order.ts";

/** Table of the outlooks of all pools. */
export const outlookTable = "outlook";

/** Key of a pool's outlook. */
export function outlookKey(pool: string): StoreRowKey {
  return {
    table: outlookTable,
    partition: shardOfPool(pool),
    key: shardOfPool(pool),
  };
}

const queueOutlookSchema = v.object({
  /** Work that is served before new jobs, in thousandths of a core times ms. */
  keptWork: v.number(),
  /** Lowest benefit rate of that work; absent if none may give way. */
  minRate: v.optional(v.number()),
  /** The same for new jobs beyond the weight of their workspace. */
  minRateBeyondWeight: v.optional(v.number()),
  /** Mean run time of a task, in ms; absent if it is not known. */
  taskMs: v.optional(v.number()),
  /** Mean work of a job, in thousandths of a core times ms. */
  meanWork: v.number(),
});

/** Schema of an outlook's row. */
export const outlookSchema = v.object({
  /** Capacity of the pool, in thousandths of a core. */
  cpuMillis: v.number(),
  queues: v.record(v.string(), queueOutlookSchema),
  /** Names of workspaces whose next job is beyond their weight. */
  exhausted: v.optional(v.array(v.string()), []),
});

/** For which new jobs a pool has no room. */
export type Outlook = v.InferOutput<typeof outlookSchema>;

/** Value of the row of a pool that has room. */
const withdrawnValue = JSON.stringify({ cpuMillis: 0, queues: {} });

/**
 * Time for which the shortage has to last, and the capacity not to have grown,
 * in ms. A free host is moved to the pool in less.
 */
const shortageMs = 3_000;

/** Interval at which an outlook is written while it applies, in ms. */
const writeIntervalMs = 1_000;

/** Largest share of the capacity that is free in a full pool. */
const maxFreeShare = 0.15;

/** Growth of the capacity that counts as the arrival of a host, as a factor. */
const growthFactor = 1.02;

/** Significant digits of the stored numbers; each stored byte is billed. */
const storedDigits = 4;

function round(value: number): number {
  return Number(value.toPrecision(storedDigits));
}

/** A rate as it is stored: undefined for infinity. */
function roundRate(rate: number): number | undefined {
  return Number.isFinite(rate) ? round(rate) : undefined;
}

/** Most workspaces that a row names, so that it stays small. */
const maxListedWorkspaces = 40;

/** Expected run times by queue, as far as they don't depend on estimates. */
export interface MeanRunTimes {
  /** Returns the mean run time of a queue's tasks in ms; undefined at first. */
  meanMs(queue: string): number | undefined;
}

/** Returns the outlook of a pool under a load. */
function outlookOf(
  { plan, capacity, meanWork, exhausted, priorities }: PoolLoad,
  runTimes: MeanRunTimes,
): Outlook {
  const queues: Record<string, v.InferOutput<typeof queueOutlookSchema>> = {};
  for (const [queue, priority] of priorities) {
    const room = plan.shortRooms.get(priority);
    if (room === undefined) continue;
    const taskMs = runTimes.meanMs(queue);
    queues[queue] = {
      keptWork: round(room.keptWork),
      minRate: roundRate(room.minRate),
      minRateBeyondWeight: roundRate(room.minRateBeyondWeight),
      ...(taskMs !== undefined && { taskMs: round(taskMs) }),
      meanWork: round(meanWork.get(queue) ?? 1),
    };
  }
  const listed = exhausted.slice(0, maxListedWorkspaces);
  return { cpuMillis: capacity.cpuMillis, queues, exhausted: listed };
}

/** Decides when the outlook of a pool is written, and with which value. */
export class OutlookReporter {
  /** Monotonic time in ms since which the shortage lasts. */
  #shortSince: number | undefined;
  /** Largest capacity since then, in thousandths of a core. */
  #cpuMillis = 0;
  #writtenAt = -Infinity;
  #isPublished = false;

  constructor(
    private readonly pool: string,
    private readonly clock: Clock,
    private readonly runTimes: MeanRunTimes,
  ) {}

  /** Returns the row to write under a load; undefined for none. */
  changedRow(load: PoolLoad): RowPut | undefined {
    const now = this.clock.now();
    if (!this.#isShort(load, now)) {
      if (!this.#isPublished) return undefined;
      this.#isPublished = false;
      return { ...outlookKey(this.pool), value: withdrawnValue };
    }
    if (now - this.#writtenAt < writeIntervalMs) return undefined;
    this.#writtenAt = now;
    this.#isPublished = true;
    const value = JSON.stringify(outlookOf(load, this.runTimes));
    return { ...outlookKey(this.pool), value };
  }

  /** Whether jobs have been unserved for long, though no host has arrived. */
  #isShort({ plan, capacity }: PoolLoad, now: number): boolean {
    const { cpuMillis, freeCpuMillis } = capacity;
    const isFull = freeCpuMillis <= maxFreeShare * cpuMillis;
    if (plan.shortRooms.size === 0 || !isFull) {
      this.#shortSince = undefined;
      return false;
    }
    const hasGrown = cpuMillis > growthFactor * this.#cpuMillis;
    if (this.#shortSince === undefined || hasGrown) {
      this.#shortSince = now;
      this.#cpuMillis = cpuMillis;
    }
    return now - this.#shortSince >= shortageMs;
  }
}

/** Returns a new job as the room of its queue is measured. */
function toNewJob(
  spec: JobSpec,
  { taskMs, meanWork }: v.InferOutput<typeof queueOutlookSchema>,
): NewJob {
  const expectedMs = (step: JobSpec["steps"][number]) =>
    taskMs ?? step.estimateMs;
  const isDone = () => false;
  const times = occurrenceTimes(spec, 0, { expectedMs, isDone });
  const work = spec.steps.reduce(
    (sum, step) => sum + step.count * step.demand.cpuMillis * expectedMs(step),
    0,
  );
  return {
    work,
    size: work / Math.max(1, meanWork),
    randomFraction: hash32(spec.id) / 2 ** 32,
    startWithinMs: lateBenefitFactor * times.objective - times.leftMs,
  };
}

/**
 * Returns the time in ms after which a pool has room for a new job by its
 * outlook; 0 if it has room now, and for jobs that are never refused: those that
 * last, which earn for as long as they run, and scheduled ones.
 */
export function msUntilRoomFor(
  spec: JobSpec,
  { cpuMillis, queues, exhausted }: Outlook,
): number {
  const queue = queues[spec.queue];
  if (queue === undefined || spec.schedule !== undefined) return 0;
  if (spec.steps.some((step) => step.longRunning)) return 0;
  const isBeyondWeight = spec.workspace !== undefined &&
    exhausted.includes(spec.workspace);
  const { keptWork, minRate, minRateBeyondWeight } = queue;
  const rate = isBeyondWeight ? minRateBeyondWeight : minRate;
  const room = { keptWork, minRate: rate ?? Infinity };
  return msUntilRoom(toNewJob(spec, queue), room, cpuMillis);
}
