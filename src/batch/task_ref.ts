/** Names of tasks: the job's id, the occurrence, the step, and the index. */

/** Position of a task within its job. */
export interface TaskRef {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** A task's name, as endpoints know it. */
export function taskName(job: string, ref: TaskRef): string {
  return `${job}.${ref.occurrence}.${ref.step}.${ref.index}`;
}

/** The name of the step that a task belongs to, in its occurrence. */
export function stepName(job: string, ref: TaskRef): string {
  return `${job}.${ref.occurrence}.${ref.step}`;
}

const taskNamePattern = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Parses a task's name; undefined when it is none. */
export function parseTaskName(
  name: string,
): { readonly job: string; readonly ref: TaskRef } | undefined {
  const match = taskNamePattern.exec(name);
  if (match === null) return undefined;
  const [occurrence, step, index] = match.slice(2).map(Number);
  return { job: match[1], ref: { occurrence, step, index } };
}
