/** What the demand of a pool is computed from: its jobs and its endpoints. */
import type {
  JobProgress,
  JobSpec,
  Resources,
  StepSpec,
} from "../batch/index.ts";

/** A job of the pool. */
export interface PoolJob {
  readonly spec: JobSpec;
  readonly progress: JobProgress;
}

/** An endpoint of the pool, as its shard's owner sees it. */
export interface PoolEndpoint {
  readonly id: string;
  readonly capacity: Resources;
  /** Resources that the runs there reserve. */
  readonly used: Resources;
  /** The part of them that long-running runs reserve. */
  readonly usedByLongRunning: Resources;
  readonly labels: readonly string[];
  /** Whether tasks may be placed there. */
  readonly isOpen: boolean;
  /** Whether it gets no tasks, because it may discard their ends unread. */
  readonly isSetAside: boolean;
  /** Number of runs that may be in progress there. */
  readonly runCount: number;
  /** Whether one of these runs is long-running. */
  readonly hasLongRunningRuns: boolean;
  /** Whether it is to be vacated later in a maintenance wave. */
  readonly awaitsVacate: boolean;
  /**
   * Availability budgets (`maxUnavailable`) of the steps that run there, by step
   * name.
   */
  readonly budgets: ReadonlyMap<string, number>;
  /** Time for which it has not answered, in ms; 0 if it has. */
  readonly silentMs: number;
}

/** Expected run times of tasks. */
export interface RunTimeEstimates {
  /** Returns the expected run time of a task of a queue's step, in ms. */
  expectedMs(queue: string, step: StepSpec): number;
}

/** Returns whether an occurrence of a job can no longer be on time. */
export type IsLate = (job: PoolJob, occurrence: number) => boolean;
