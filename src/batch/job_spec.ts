/**
 * A batch job as its caller asked for it: steps that depend on one another,
 * each of many tasks. It never changes after it was accepted.
 */
import * as v from "valibot";

/** Resources of one task, or of one endpoint. */
export const resourcesSchema = v.object({
  /** Thousandths of a core. */
  cpuMillis: v.number(),
  memoryMb: v.number(),
  gpus: v.number(),
});

export type Resources = v.InferOutput<typeof resourcesSchema>;

export const stepSchema = v.object({
  /** Number of tasks. */
  count: v.number(),
  demand: resourcesSchema,
  /** The caller's rough estimate of a task's run time. */
  estimateMs: v.number(),
  /** Indexes of steps that must be done first. */
  after: v.array(v.number()),
  /** Whether tasks save their progress. */
  checkpoints: v.boolean(),
  /** Whether tasks run only all together. */
  gang: v.boolean(),
  /** Whether tasks run faster within one rack. */
  rackLocal: v.boolean(),
  /** Label that the endpoint must have; empty for none. */
  label: v.string(),
  /** Rack where the data lies; empty for none. */
  rack: v.string(),
  /** Most tasks of an occurrence on one endpoint; 0 for no limit. */
  maxPerEndpoint: v.number(),
  /** Whether copies of a task may run in parallel. */
  speculative: v.boolean(),
  /** Whether tasks run until the job is cancelled. */
  longRunning: v.boolean(),
  /** Name of what the tasks run; empty for none. */
  image: v.string(),
  /** Latency target of tasks that serve users, in ms; 0 for none. */
  targetMs: v.number(),
  /** Whether tasks run on the capacity that others leave unused. */
  filler: v.boolean(),
  /** Most tasks that may be away by the system's doing; absent: any. */
  maxUnavailable: v.optional(v.number()),
});

/** One step. */
export type StepSpec = v.InferOutput<typeof stepSchema>;

export const jobSpecSchema = v.object({
  id: v.string(),
  /** Class of work: the queue that took the job. */
  queue: v.string(),
  /** What every task is started with. */
  payload: v.string(),
  steps: v.array(stepSchema),
  /** Repetition; a single occurrence at once when absent. */
  schedule: v.optional(v.object({
    /** Wall-clock time of the first occurrence, ms since the Unix epoch. */
    firstAtMs: v.number(),
    periodMs: v.number(),
    count: v.number(),
  })),
  /** 0 comes first. */
  priority: v.number(),
  /** Failed runs of a task after which the job fails. */
  maxAttempts: v.number(),
  /** Latency objective: `sloMs` plus `stretch` times the longest chain. */
  sloMs: v.number(),
  stretch: v.number(),
  /** Whether starts need a ticket; rows of older releases lack it. */
  advised: v.optional(v.boolean(), false),
  /** Wall-clock time of the acceptance, ms since the Unix epoch. */
  acceptedAt: v.number(),
});

/** One job. */
export type JobSpec = v.InferOutput<typeof jobSpecSchema>;

/**
 * Most tasks of one occurrence. Its progress is one row of the store, of at
 * most 64 KiB; a task that has run takes up to 90 bytes.
 */
export const maxTasks = 700;

/** Tasks of one occurrence. */
export function taskCount(steps: readonly StepSpec[]): number {
  return steps.reduce((sum, step) => sum + step.count, 0);
}

/** Occurrences of a job. */
export function occurrenceCount(spec: JobSpec): number {
  return spec.schedule?.count ?? 1;
}

/** Wall-clock time from which an occurrence may start, in ms. */
export function dueAt(spec: JobSpec, occurrence: number): number {
  const { schedule } = spec;
  if (schedule === undefined) return 0;
  return schedule.firstAtMs + occurrence * schedule.periodMs;
}

/** Whether a job lasts until it is cancelled. */
export function isLongRunning(spec: JobSpec): boolean {
  return spec.steps.some((step) => step.longRunning);
}
