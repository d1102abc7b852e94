/** How the tasks of a simulation behave. */
import {
  type JobSpec,
  parseTaskName,
  type StepSpec,
} from "../src/batch/index.ts";
import type { ModelAdvisor } from "./model_advisor.ts";
import type { TaskModel } from "./model_endpoint.ts";
import { fnv1a32, mulberry32 } from "./random.ts";

/** Factor by which a long task exceeds its run time as estimated. */
const longTaskFactor = 12;

/** What the behaviour of all tasks depends on. */
export interface TaskModelOptions {
  readonly seed: number;
  /** Average run time of tasks divided by the caller's estimate; default 1. */
  readonly workFactor?: number;
  /** Share of tasks that take twelve times as long as others; default 0. */
  readonly longShare?: number;
}

/**
 * Tells how a task behaves. Its run time and failures follow from the seed and
 * its name, so that they are the same on every endpoint.
 */
export class TaskModels {
  /** @param jobs Submitted jobs by id. */
  constructor(
    private readonly options: TaskModelOptions,
    private readonly jobs: ReadonlyMap<string, JobSpec>,
    private readonly advisor: ModelAdvisor,
  ) {}

  /** Returns how a task behaves; undefined if no job has such a task. */
  of(task: string): TaskModel | undefined {
    const parsed = parseTaskName(task);
    const spec = parsed && this.jobs.get(parsed.job);
    const step: StepSpec | undefined = spec?.steps[parsed?.ref.step ?? -1];
    if (spec === undefined || step === undefined) return undefined;
    const { seed, workFactor = 1, longShare = 0 } = this.options;
    const random = mulberry32(fnv1a32(`${seed} ${task}`));
    const usualMs = step.estimateMs * (0.5 + random()) * workFactor;
    const alwaysFails = spec.payload === "poison";
    const failureCount = Math.floor(random() * 1.3);
    const isLong = random() < longShare;
    const durationMs = isLong ? longTaskFactor * usualMs : usualMs;
    return {
      step,
      durationMs,
      fails: (run) => alwaysFails || run <= failureCount,
      admits: (endpoint, ticket) =>
        !spec.advised || this.advisor.acceptsTicket(task, endpoint, ticket),
    };
  }
}
