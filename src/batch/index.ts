/** Batch jobs: graphs of steps, each of many tasks. */
export * from "./job_spec.ts";
export * from "./progress.ts";
export { decodePhase, decodeProgress, encodeProgress } from "./progress_row.ts";
export * from "./rows.ts";
export { parseTaskName, stepName, taskName, type TaskRef } from "./task_ref.ts";
