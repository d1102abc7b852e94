/** Leaves the jobs that a limit holds back out of a pool's demand for hosts. */
import { type JobProgress, type JobSpec, readySteps } from "../batch/index.ts";

/** A job and its progress. */
interface JobInProgress {
  readonly spec: JobSpec;
  readonly progress: JobProgress;
}

/** Whether a task of the job has been placed and has not ended. */
function hasPlacedTask({ spec, progress }: JobInProgress): boolean {
  return readySteps(progress, spec).some(({ open, waiting }) => open > waiting);
}

/**
 * Returns the jobs that further hosts may help: not those of which the limit of
 * their workspace holds tasks back and nothing runs.
 */
export function jobsForHosts<J extends JobInProgress>(
  jobs: readonly J[],
  heldBackJobs: ReadonlySet<string>,
): readonly J[] {
  if (heldBackJobs.size === 0) return jobs;
  return jobs.filter((job) =>
    !heldBackJobs.has(job.spec.id) || hasPlacedTask(job)
  );
}
