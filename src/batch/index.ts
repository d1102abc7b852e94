/** Batch jobs: their specification, progress, stored rows and task names. */
export * from "./job_spec.ts";
export * from "./progress.ts";
export * from "./resources.ts";
export {
  changedRowKeys,
  isSplit,
  maxTasksPerRow,
  obsoleteRowKeys,
  parseProgressRowKey,
  partRowKeys,
  progressRowKeys,
} from "./progress_layout.ts";
export {
  decodePhase,
  decodeProgress,
  encodeProgressRow,
  type StoredProgress,
} from "./progress_row.ts";
export * from "./ready_steps.ts";
export * from "./rows.ts";
export {
  parseTaskName,
  stepName,
  type StepRef,
  taskName,
  type TaskRef,
} from "./task_ref.ts";
