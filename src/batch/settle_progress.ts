/**
 * Completes the progress of a job that was read from several rows. They are
 * committed in any order, so after a crash some may be older than others.
 */
import type { JobSpec } from "./job_spec.ts";
import {
  completeOccurrenceIfDone,
  completeTask,
  failJob,
  hasExhaustedAttempts,
  type JobProgress,
} from "./progress.ts";

/** Completes the gangs of an occurrence of which one member is done. */
function settleGangs(
  p: JobProgress,
  spec: JobSpec,
  occurrence: number,
): JobProgress {
  let settled = p;
  for (const [step, tasks] of (p.open.get(occurrence) ?? []).entries()) {
    const index = tasks.findIndex((task) => task.done);
    if (!spec.steps[step].gang || index < 0) continue;
    const ref = { occurrence, step, index };
    const { lastRun } = tasks[index];
    settled = completeTask(settled, spec.steps[step], ref, lastRun);
  }
  return settled;
}

/** Whether a task of an occurrence has failed too often. */
function hasFailedTask(
  p: JobProgress,
  spec: JobSpec,
  occurrence: number,
): boolean {
  return (p.open.get(occurrence) ?? []).some((tasks, step) =>
    tasks.some((task) => hasExhaustedAttempts(spec, spec.steps[step], task))
  );
}

/**
 * Draws the conclusions that are recorded in other rows than the tasks that
 * they follow from: members of a gang end together, a job fails with one of its
 * tasks, and an occurrence closes with its last task.
 */
export function settleProgress(p: JobProgress, spec: JobSpec): JobProgress {
  let settled = p;
  for (const occurrence of p.open.keys()) {
    settled = settleGangs(settled, spec, occurrence);
    if (hasFailedTask(settled, spec, occurrence)) settled = failJob(settled);
    settled = completeOccurrenceIfDone(settled, spec, { occurrence });
  }
  return settled;
}
