/** Task names of the form `JOB.OCCURRENCE.STEP.INDEX`. */

/** Position of a step within its job. */
export interface StepRef {
  readonly occurrence: number;
  readonly step: number;
}

/** Position of a task within its job. */
export interface TaskRef extends StepRef {
  readonly index: number;
}

/** Formats a task's name, by which endpoints identify it. */
export function taskName(job: string, ref: TaskRef): string {
  return `${job}.${ref.occurrence}.${ref.step}.${ref.index}`;
}

/** Formats the name of a task's step within its occurrence. */
export function stepName(job: string, ref: StepRef): string {
  return `${job}.${ref.occurrence}.${ref.step}`;
}

const taskNamePattern = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Parses a task's name; undefined if it is malformed. */
export function parseTaskName(
  name: string,
): { readonly job: string; readonly ref: TaskRef } | undefined {
  const match = taskNamePattern.exec(name);
  if (match === null) return undefined;
  const [occurrence, step, index] = match.slice(2).map(Number);
  return { job: match[1], ref: { occurrence, step, index } };
}
