/** Batch jobs: their specification, progress, stored rows and task names. */
export * from "./job_spec.ts";
export * from "./progress.ts";
export * from "./resources.ts";
export { decodePhase, decodeProgress, encodeProgress } from "./progress_row.ts";
export * from "./rows.ts";
export { parseTaskName, stepName, taskName, type TaskRef } from "./task_ref.ts";
