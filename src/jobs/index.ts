/** Recorded jobs: at-most-once requests, and asynchronous patient requests. */
export {
  type Claimer,
  claimJob,
  failJob,
  finishJob,
  isEnded,
  type Job,
  type JobResult,
  jobSchema,
  type JobState,
  keyedJobId,
  openJobKey,
  openJobKeyPrefix,
  revertJobStart,
  startJob,
} from "./job.ts";
export { JobStore, type JobWrite, type StoredJob } from "./job_store.ts";
export { JobRunner, type JobRunnerDependencies } from "./job_runner.ts";
export { JobService, type Settlement } from "./job_service.ts";
export { JobRecovery } from "./job_recovery.ts";
