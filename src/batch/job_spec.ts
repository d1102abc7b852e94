/**
 * Specification of a batch job: a dependency graph of steps, each with one or
 * more tasks. It is immutable once the job has been accepted.
 */
import * as v from "valibot";

/** Resources that a task requires or an endpoint provides. */
export const resourcesSchema = v.object({
  /** CPU in thousandths of a core. */
  cpuMillis: v.number(),
  memoryMb: v.number(),
  gpus: v.number(),
});

/** Resources that a task requires or an endpoint provides. */
export type Resources = v.InferOutput<typeof resourcesSchema>;

/** Schema of one step of a job. */
export const stepSchema = v.object({
  /** Number of tasks. */
  count: v.number(),
  /** Resources that each task requires. */
  demand: resourcesSchema,
  /** The caller's estimate of a task's run time, in ms. */
  estimateMs: v.number(),
  /** Indexes of the steps that must be done before this one starts. */
  after: v.array(v.number()),
  /** Whether tasks write checkpoints that a later run resumes from. */
  checkpoints: v.boolean(),
  /** Gang scheduling: whether the tasks run all at once or not at all. */
  gang: v.boolean(),
  /** Whether tasks run faster when they share a rack. */
  rackLocal: v.boolean(),
  /** Label that the endpoint must carry; empty for none. */
  label: v.string(),
  /** Rack that stores the input data; empty for none. */
  rack: v.string(),
  /** Maximum tasks of one occurrence per endpoint; 0 for no limit. */
  maxPerEndpoint: v.number(),
  /** Speculative execution: whether copies of a task may run in parallel. */
  speculative: v.boolean(),
  /** Whether tasks run until the job is cancelled, like services. */
  longRunning: v.boolean(),
  /** Image that the tasks run; empty for none. */
  image: v.string(),
  /** Latency target in ms for tasks that serve users; 0 for none. */
  targetMs: v.number(),
  /** Whether tasks are best-effort and use only otherwise idle capacity. */
  filler: v.boolean(),
  /**
   * Maximum tasks that the system itself may make unavailable at a time;
   * absent for no limit.
   */
  maxUnavailable: v.optional(v.number()),
});

/** One step of a job. */
export type StepSpec = v.InferOutput<typeof stepSchema>;

/** Schema of a job's specification. */
export const jobSpecSchema = v.object({
  id: v.string(),
  /** Queue that accepted the job. */
  queue: v.string(),
  /** Input passed to every task. */
  payload: v.string(),
  steps: v.array(stepSchema),
  /** Recurrence; absent for a single occurrence that starts at once. */
  schedule: v.optional(v.object({
    /** Wall-clock time of the first occurrence, ms since the Unix epoch. */
    firstAtMs: v.number(),
    periodMs: v.number(),
    count: v.number(),
  })),
  /** Scheduling priority; 0 is the highest. */
  priority: v.number(),
  /** Number of failed runs of one task after which the job fails. */
  maxAttempts: v.number(),
  /**
   * Completion objective in ms: `sloMs` plus `stretch` times the estimated run
   * time of the longest chain of steps.
   */
  sloMs: v.number(),
  stretch: v.number(),
  /**
   * Whether a run needs a ticket of the queue's advice service. Rows of older
   * releases lack it.
   */
  advised: v.optional(v.boolean(), false),
  /** Name of the workspace that submitted it; absent for none. */
  workspace: v.optional(v.string()),
  /** Wall-clock time of acceptance, ms since the Unix epoch. */
  acceptedAt: v.number(),
});

/** Specification of one job. */
export type JobSpec = v.InferOutput<typeof jobSpecSchema>;

/**
 * Maximum number of tasks in one occurrence. An owner holds all of them in
 * memory and compares them on each change of the occurrence.
 */
export const maxTasksPerOccurrence = 700;

/** Number of tasks in one occurrence. */
export function taskCount(steps: readonly StepSpec[]): number {
  return steps.reduce((sum, step) => sum + step.count, 0);
}

/** Number of occurrences of a job. */
export function occurrenceCount(spec: JobSpec): number {
  return spec.schedule?.count ?? 1;
}

/** Earliest start of an occurrence, in ms of wall-clock time; 0 for at once. */
export function dueAt(spec: JobSpec, occurrence: number): number {
  const { schedule } = spec;
  if (schedule === undefined) return 0;
  return schedule.firstAtMs + occurrence * schedule.periodMs;
}

/** Whether a job runs until it is cancelled. */
export function isLongRunning(spec: JobSpec): boolean {
  return spec.steps.some((step) => step.longRunning);
}
