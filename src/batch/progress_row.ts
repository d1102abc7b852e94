/**
 * Stored encoding of a job's progress. To keep rows small, because the store
 * charges by the byte, tasks in their initial state are omitted and the others
 * are written as tuples.
 */
import * as v from "valibot";
import type { JobSpec } from "./job_spec.ts";
import {
  initialTasks,
  jobPhases,
  type JobProgress,
  type Placement,
  type TaskState,
} from "./progress.ts";
import { parseJson } from "../store/index.ts";

const taskColumns = [
  v.number(), // occurrence
  v.number(), // step
  v.number(), // index
  v.number(), // 1 when done
  v.number(), // last run
  v.number(), // failures
  v.string(), // checkpoint
] as const;
const placementEntrySchema = v.tuple([
  v.number(), // run
  v.string(), // endpoint
  v.number(), // life
]);
const taskEntrySchema = v.union([
  v.tuple([...taskColumns, placementEntrySchema]),
  v.tuple([...taskColumns]),
]);

const progressRowSchema = v.object({
  phase: v.picklist(jobPhases),
  next: v.number(),
  completed: v.number(),
  open: v.array(v.number()),
  tasks: v.array(taskEntrySchema),
});

type TaskEntry = v.InferOutput<typeof taskEntrySchema>;

/** Encodes a job's progress as the value of its row. */
export function encodeProgress(p: JobProgress): string {
  const tasks: TaskEntry[] = [];
  for (const [occurrence, steps] of p.open) {
    steps.forEach((stepTasks, step) =>
      stepTasks.forEach((task, index) => {
        if (task.lastRun === 0) return;
        tasks.push(encodeTask([occurrence, step, index], task));
      })
    );
  }
  const row: v.InferOutput<typeof progressRowSchema> = {
    phase: p.phase,
    next: p.nextOccurrence,
    completed: p.completedOccurrences,
    open: [...p.open.keys()],
    tasks,
  };
  return JSON.stringify(row);
}

function encodeTask(
  [occurrence, step, index]: readonly [number, number, number],
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
  return [...entry, [placement.run, placement.endpoint, placement.life]];
}

/** Decodes only the phase; undefined if the row is invalid. */
export function decodePhase(value: string): JobProgress["phase"] | undefined {
  return parseJson(v.object({ phase: v.picklist(jobPhases) }), value)?.phase;
}

/** Decodes a job's progress; undefined if the row is invalid. */
export function decodeProgress(
  value: string,
  spec: JobSpec,
): JobProgress | undefined {
  const row = parseJson(progressRowSchema, value);
  if (row === undefined) return undefined;
  const open = new Map(
    row.open.map((k) => [k, initialTasks(spec.steps).map((list) => [...list])]),
  );
  for (const entry of row.tasks) {
    const [occurrence, step, index] = entry;
    const tasks = open.get(occurrence)?.[step];
    if (tasks === undefined || index >= tasks.length) continue;
    tasks[index] = decodeTask(entry);
  }
  return {
    phase: row.phase,
    open,
    nextOccurrence: row.next,
    completedOccurrences: row.completed,
  };
}

function decodeTask(entry: TaskEntry): TaskState {
  const [, , , done, lastRun, failures, checkpoint, placementEntry] = entry;
  const task = { done: done === 1, lastRun, failures, checkpoint };
  if (placementEntry === undefined) return task;
  const [run, endpoint, life] = placementEntry;
  const placement: Placement = { run, endpoint, life };
  return { ...task, placement };
}
