/**
 * Stored encoding of a job's progress. To keep rows small, because the store
 * charges by the byte, tasks without a run are omitted and the others are
 * written as tuples.
 */
import * as v from "valibot";
import type { JobSpec } from "./job_spec.ts";
import {
  hasRun,
  initialProgress,
  initialTasks,
  jobPhases,
  type JobProgress,
  type OccurrenceTasks,
  type Placement,
  type TaskState,
} from "./progress.ts";
import {
  isSplit,
  maxTasksPerRow,
  parseProgressRowKey,
  type PartName,
} from "./progress_layout.ts";
import { settleProgress } from "./settle_progress.ts";
import type { TaskRef } from "./task_ref.ts";
import { parseJson, type StoreRow } from "../store/index.ts";

const taskColumns = [
  v.number(), // occurrence
  v.number(), // step
  v.number(), // index
  v.number(), // 1 when done
  v.number(), // last run
  v.number(), // failures
  v.string(), // checkpoint
] as const;
const placementColumns = [
  v.number(), // run
  v.string(), // endpoint
  v.number(), // life
] as const;
const placementEntrySchema = v.union([
  v.tuple([...placementColumns, v.literal(1)]), // the start is acknowledged
  v.tuple([...placementColumns]),
]);
const taskEntrySchema = v.union([
  v.tuple([...taskColumns, placementEntrySchema]),
  v.tuple([...taskColumns]),
]);

const headRowSchema = v.object({
  phase: v.picklist(jobPhases),
  next: v.number(),
  completed: v.number(),
  open: v.array(v.number()),
  /** All tasks of a small job, and of a larger one that an older release wrote. */
  tasks: v.array(taskEntrySchema),
});

const partRowSchema = v.object({ tasks: v.array(taskEntrySchema) });

type PlacementEntry = v.InferOutput<typeof placementEntrySchema>;
type TaskEntry = v.InferOutput<typeof taskEntrySchema>;
type HeadRow = v.InferOutput<typeof headRowSchema>;

/** The stored rows of one job's progress. */
export interface StoredProgress {
  /** Value of the head row; absent if only parts have been committed. */
  readonly head?: string | undefined;
  readonly parts: readonly Pick<StoreRow, "key" | "value">[];
}

/** Entries of the tasks that have had a run. */
function encodeTasks(
  occurrence: number,
  tasks: OccurrenceTasks,
): readonly (TaskEntry | undefined)[] {
  return tasks.flatMap((stepTasks, step) =>
    stepTasks.map((task, index) =>
      hasRun(task) ? encodeTask({ occurrence, step, index }, task) : undefined
    )
  );
}

function isEntry(entry: TaskEntry | undefined): entry is TaskEntry {
  return entry !== undefined;
}

function encodeHead(spec: JobSpec, p: JobProgress): string {
  const tasks = isSplit(spec)
    ? []
    : [...p.open].flatMap(([k, each]) => encodeTasks(k, each)).filter(isEntry);
  const row: HeadRow = {
    phase: p.phase,
    next: p.nextOccurrence,
    completed: p.completedOccurrences,
    open: [...p.open.keys()],
    tasks,
  };
  return JSON.stringify(row);
}

/** Encodes a part; undefined if its occurrence is not open. */
function encodePart(
  p: JobProgress,
  { occurrence, part }: PartName,
): string | undefined {
  const open = p.open.get(occurrence);
  if (open === undefined) return undefined;
  const first = part * maxTasksPerRow;
  const tasks = encodeTasks(occurrence, open)
    .slice(first, first + maxTasksPerRow).filter(isEntry);
  const row: v.InferOutput<typeof partRowSchema> = { tasks };
  return JSON.stringify(row);
}

/**
 * Encodes the row of a job's progress that has this key. Returns undefined for
 * a part that is obsolete.
 */
export function encodeProgressRow(
  spec: JobSpec,
  p: JobProgress,
  key: string,
): string | undefined {
  const { part } = parseProgressRowKey(key);
  return part === undefined ? encodeHead(spec, p) : encodePart(p, part);
}

function encodeTask(
  { occurrence, step, index }: TaskRef,
  task: TaskState,
): TaskEntry {
  const { done, lastRun, failures, checkpoint, placement } = task;
  const doneFlag = done ? 1 : 0;
  const entry = [
    occurrence,
    step,
    index,
    doneFlag,
    lastRun,
    failures,
    checkpoint,
  ] as const;
  if (placement === undefined) return [...entry];
  return [...entry, encodePlacement(placement)];
}

function encodePlacement(
  { run, endpoint, life, isAcknowledged }: Placement,
): PlacementEntry {
  return isAcknowledged ? [run, endpoint, life, 1] : [run, endpoint, life];
}

/** Decodes only the phase; undefined if the row is invalid. */
export function decodePhase(value: string): JobProgress["phase"] | undefined {
  return parseJson(v.object({ phase: v.picklist(jobPhases) }), value)?.phase;
}

/**
 * Decodes a job's progress. Returns undefined if a row is invalid. A part may
 * be newer than the head, and then tells of occurrences that were opened since.
 */
export function decodeProgress(
  { head, parts }: StoredProgress,
  spec: JobSpec,
): JobProgress | undefined {
  const row = head === undefined ? emptyHead : parseJson(headRowSchema, head);
  const partRows = parts.map(({ value }) => parseJson(partRowSchema, value));
  if (row === undefined || partRows.includes(undefined)) return undefined;
  const entries = [row, ...partRows].flatMap((each) => each?.tasks ?? []);
  const nextOccurrence = entries.reduce(
    (next, [occurrence]) => Math.max(next, occurrence + 1),
    row.next,
  );
  const open = new Map(
    openOccurrences(row, nextOccurrence).map((k) => [
      k,
      initialTasks(spec.steps).map((list) => [...list]),
    ]),
  );
  for (const entry of entries) {
    const [occurrence, step, index] = entry;
    const tasks = open.get(occurrence)?.[step];
    if (tasks === undefined || index >= tasks.length) continue;
    tasks[index] = decodeTask(entry);
  }
  const { phase, completed: completedOccurrences } = row;
  const progress = { phase, open, nextOccurrence, completedOccurrences };
  return settleProgress(progress, spec);
}

/** Head row of a job of which only parts have been committed. */
const emptyHead: HeadRow = {
  phase: initialProgress.phase,
  next: initialProgress.nextOccurrence,
  completed: initialProgress.completedOccurrences,
  open: [],
  tasks: [],
};

/** The open occurrences of a head row, and those opened after it. */
function openOccurrences(
  { open, next }: HeadRow,
  nextOccurrence: number,
): readonly number[] {
  const opened = Array.from(
    { length: nextOccurrence - next },
    (_, i) => next + i,
  );
  return [...open, ...opened];
}

function decodeTask(entry: TaskEntry): TaskState {
  const [, , , done, lastRun, failures, checkpoint, placementEntry] = entry;
  const task = { done: done === 1, lastRun, failures, checkpoint };
  if (placementEntry === undefined) return task;
  const [run, endpoint, life, acknowledged] = placementEntry;
  const placement: Placement = {
    run,
    endpoint,
    life,
    ...(acknowledged === 1 && { isAcknowledged: true }),
  };
  return { ...task, placement };
}
