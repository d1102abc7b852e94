/**
 * Layout of a job's progress in rows.
 *
 * A small job has one row. A larger one has a head row and, for each open
 * occurrence, parts with a bounded number of tasks each, so that no row outgrows
 * what the store accepts. The parts of a closed occurrence are obsolete once the
 * head is committed that says so.
 */
import { type JobSpec, occurrenceCount, taskCount } from "./job_spec.ts";
import { hasRun, type JobProgress, type OccurrenceTasks } from "./progress.ts";

/**
 * Maximum number of tasks in one row of at most 64 KiB. The entry of a task has
 * up to 520 bytes, with the longest id of an endpoint and the longest checkpoint.
 */
export const maxTasksPerRow = 100;

/** Tasks of an open occurrence that share a row. */
export interface PartName {
  readonly occurrence: number;
  /** Number of the part within its occurrence. */
  readonly part: number;
}

/** Key of a part within the table and partition of progress rows. */
export function partRowKey(
  job: string,
  { occurrence, part }: PartName,
): string {
  return `${job}/${occurrence}/${part}`;
}

/** The job of a progress row, and its part unless the row is the head. */
export function parseProgressRowKey(
  key: string,
): { readonly job: string; readonly part?: PartName } {
  const [job, occurrence, part] = key.split("/");
  if (part === undefined) return { job };
  return {
    job,
    part: { occurrence: Number(occurrence), part: Number(part) },
  };
}

/** Whether the tasks of a job are stored in parts besides its head row. */
export function isSplit(spec: JobSpec): boolean {
  return taskCount(spec.steps) * occurrenceCount(spec) > maxTasksPerRow;
}

/** Keys of all parts that an occurrence may have. */
export function partRowKeys(spec: JobSpec, occurrence: number): string[] {
  const count = Math.ceil(taskCount(spec.steps) / maxTasksPerRow);
  return Array.from(
    { length: count },
    (_, part) => partRowKey(spec.id, { occurrence, part }),
  );
}

/** Numbers of the parts in which tasks with a run differ. */
function changedParts(
  before: OccurrenceTasks | undefined,
  after: OccurrenceTasks,
): ReadonlySet<number> {
  const parts = new Set<number>();
  let firstPosition = 0;
  for (const [step, tasks] of after.entries()) {
    const previous = before?.[step];
    if (previous !== tasks) {
      for (const [index, task] of tasks.entries()) {
        if (task === previous?.[index] || !hasRun(task)) continue;
        parts.add(Math.floor((firstPosition + index) / maxTasksPerRow));
      }
    }
    firstPosition += tasks.length;
  }
  return parts;
}

/** Keys of the rows in which two states of a job's progress may differ. */
export function changedRowKeys(
  spec: JobSpec,
  before: JobProgress,
  after: JobProgress,
): readonly string[] {
  const keys: string[] = [spec.id];
  if (!isSplit(spec)) return keys;
  for (const [occurrence, tasks] of after.open) {
    for (const part of changedParts(before.open.get(occurrence), tasks)) {
      keys.push(partRowKey(spec.id, { occurrence, part }));
    }
  }
  return keys;
}

/** Keys of the parts that are obsolete since an occurrence has closed. */
export function obsoleteRowKeys(
  spec: JobSpec,
  before: JobProgress,
  after: JobProgress,
): readonly string[] {
  if (!isSplit(spec) || before.open === after.open) return [];
  return [...before.open.keys()]
    .filter((occurrence) => !after.open.has(occurrence))
    .flatMap((occurrence) => partRowKeys(spec, occurrence));
}

/** Keys of all rows that a job's progress may have. */
export function progressRowKeys(
  spec: JobSpec,
  p: JobProgress,
): readonly string[] {
  if (!isSplit(spec)) return [spec.id];
  const open = [...p.open.keys()];
  return [spec.id, ...open.flatMap((k) => partRowKeys(spec, k))];
}
