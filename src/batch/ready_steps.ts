/** The steps and tasks of a job that can start. */
import type { JobSpec } from "./job_spec.ts";
import {
  isFinal,
  isStepReady,
  type JobProgress,
  type TaskState,
} from "./progress.ts";
import type { TaskRef } from "./task_ref.ts";

/** Tasks that wait for placement and whose dependencies are done. */
export function startableTasks(
  p: JobProgress,
  spec: JobSpec,
): readonly TaskRef[] {
  return readySteps(p, spec).flatMap(({ occurrence, step, tasks }) =>
    tasks.flatMap((task, index) =>
      isWaiting(task) ? [{ occurrence, step, index }] : []
    )
  );
}

/** A step of an open occurrence whose dependencies are done. */
export interface ReadyStep {
  readonly occurrence: number;
  readonly step: number;
  readonly tasks: readonly TaskState[];
  /** Number of tasks that are not done. */
  readonly open: number;
  /** Number of tasks that wait for placement. */
  readonly waiting: number;
}

/**
 * Cache of ready steps. Keying it by the progress alone is safe: progress is
 * immutable and belongs to one job, except for the shared initial value, which
 * has no ready steps for any job.
 */
const readyStepsByProgress = new WeakMap<JobProgress, readonly ReadyStep[]>();

/** Unfinished steps whose dependencies are done; none in a final phase. */
export function readySteps(
  p: JobProgress,
  spec: JobSpec,
): readonly ReadyStep[] {
  const cached = readyStepsByProgress.get(p);
  if (cached !== undefined) return cached;
  const ready = findReadySteps(p, spec);
  readyStepsByProgress.set(p, ready);
  return ready;
}

function findReadySteps(p: JobProgress, spec: JobSpec): readonly ReadyStep[] {
  if (isFinal(p.phase)) return [];
  const ready: ReadyStep[] = [];
  for (const [occurrence, steps] of p.open) {
    steps.forEach((tasks, step) => {
      const open = tasks.filter((task) => !task.done).length;
      if (open === 0 || !isStepReady(spec, steps, step)) return;
      const waiting = tasks.filter(isWaiting).length;
      ready.push({ occurrence, step, tasks, open, waiting });
    });
  }
  return ready;
}

/** Whether a task waits for placement. */
export function isWaiting({ done, placement }: TaskState): boolean {
  return !done && placement === undefined;
}
