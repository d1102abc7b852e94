/**
 * How far a job has come: an immutable value, and the transitions on it.
 *
 * The rules that it upholds: a task starts only when the steps before it are
 * done; a run's number is never used twice; a task that is done never starts
 * again; a failed run counts once, because only the end of the task's present
 * placement counts.
 */
import { type JobSpec, occurrenceCount, type StepSpec } from "./job_spec.ts";
import type { TaskRef } from "./task_ref.ts";

/** Where a run is, or may be. */
export interface Placement {
  readonly run: number;
  /** Id of the endpoint, and the start of its life (ms, Unix epoch). */
  readonly endpoint: string;
  readonly life: number;
}

/** One task. */
export interface TaskState {
  readonly done: boolean;
  /** Highest run number in use; 0 before the first. */
  readonly lastRun: number;
  readonly failures: number;
  /** Last known checkpoint; empty for none. */
  readonly checkpoint: string;
  /** The run that may be under way. */
  readonly placement?: Placement;
}

/** States of a job. */
export const jobPhases = [
  "queued",
  "running",
  "completed",
  "failed",
  "cancelled",
] as const;
export type JobPhase = typeof jobPhases[number];

/** Tasks of an occurrence by step and index. */
export type OccurrenceTasks = readonly (readonly TaskState[])[];

/** Progress of one job. */
export interface Progress {
  readonly phase: JobPhase;
  /** Occurrences that have begun and are not complete. */
  readonly open: ReadonlyMap<number, OccurrenceTasks>;
  /** Number of the next occurrence to open. */
  readonly nextOccurrence: number;
  readonly completedOccurrences: number;
}

/** How a run ended. `lost`: its endpoint's life or lease is over. */
export type RunEnd =
  | "done"
  | "failed"
  | "stopped"
  | "lapsed"
  | "broken"
  | "alone"
  | "lost"
  /** It was proved that the run never started. */
  | "not-started";

const initialTask: TaskState = {
  done: false,
  lastRun: 0,
  failures: 0,
  checkpoint: "",
};

/** Progress of a job that nothing has been done for. */
export const freshProgress: Progress = {
  phase: "queued",
  open: new Map(),
  nextOccurrence: 0,
  completedOccurrences: 0,
};

/** Whether a job has reached its final state. */
export function isFinal(phase: JobPhase): boolean {
  return phase !== "queued" && phase !== "running";
}

/** The task at a position; undefined when its occurrence is not open. */
export function taskAt(p: Progress, ref: TaskRef): TaskState | undefined {
  return p.open.get(ref.occurrence)?.[ref.step]?.[ref.index];
}

/** Fresh tasks of one occurrence. */
export function initialTasks(steps: readonly StepSpec[]): OccurrenceTasks {
  return steps.map((step) => Array<TaskState>(step.count).fill(initialTask));
}

/** Opens the next occurrence. */
export function openOccurrence(p: Progress, spec: JobSpec): Progress {
  const open = new Map(p.open);
  open.set(p.nextOccurrence, initialTasks(spec.steps));
  return { ...p, open, nextOccurrence: p.nextOccurrence + 1 };
}

function withTask(p: Progress, ref: TaskRef, task: TaskState): Progress {
  const occurrence = p.open.get(ref.occurrence);
  if (occurrence === undefined) return p;
  const steps = [...occurrence];
  const tasks = [...steps[ref.step]];
  tasks[ref.index] = task;
  steps[ref.step] = tasks;
  const open = new Map(p.open);
  open.set(ref.occurrence, steps);
  return { ...p, open };
}

/** Whether every task of a step is done. */
export function isStepDone(tasks: OccurrenceTasks, step: number): boolean {
  return tasks[step].every((task) => task.done);
}

/** Whether the steps that a step depends on are done. */
export function isStepReady(
  spec: JobSpec,
  tasks: OccurrenceTasks,
  step: number,
): boolean {
  return spec.steps[step].after.every((before) => isStepDone(tasks, before));
}

/** The number for the next run of a task; gang members share it. */
export function nextRun(p: Progress, spec: JobSpec, ref: TaskRef): number {
  const tasks = p.open.get(ref.occurrence)?.[ref.step] ?? [];
  if (!spec.steps[ref.step].gang) return tasks[ref.index].lastRun + 1;
  return Math.max(...tasks.map((task) => task.lastRun)) + 1;
}

/** Records the intent to start a run; the task must be waiting. */
export function placeTask(
  p: Progress,
  ref: TaskRef,
  placement: Placement,
): Progress {
  const task = taskAt(p, ref);
  if (task === undefined || task.done || task.placement !== undefined) {
    throw new Error(`task ${JSON.stringify(ref)} is not waiting`);
  }
  const placed = { ...task, lastRun: placement.run, placement };
  return withTask(p, ref, placed);
}

/** Notes that a run of the job was confirmed by its endpoint. */
export function beginJob(p: Progress): Progress {
  return p.phase === "queued" ? { ...p, phase: "running" } : p;
}

/**
 * Records the end of a run. A `done` of an earlier run counts as well: the
 * work is done, whichever run did it. Other ends of earlier runs change
 * nothing.
 */
export function endRun(
  p: Progress,
  spec: JobSpec,
  ref: TaskRef,
  run: number,
  end: RunEnd,
  checkpoint = "",
): Progress {
  const task = taskAt(p, ref);
  if (task === undefined || task.done) return p;
  const step = spec.steps[ref.step];
  if (end === "done" && !step.longRunning) {
    const afterTask = beginJob(completeTask(p, step, ref, run));
    return completeOccurrenceIfDone(afterTask, spec, ref);
  }
  if (task.placement?.run !== run) return p;
  const failures = task.failures + (end === "failed" ? 1 : 0);
  const ended: TaskState = {
    done: false,
    lastRun: task.lastRun,
    failures,
    checkpoint: checkpoint === "" ? task.checkpoint : checkpoint,
  };
  const next = withTask(p, ref, ended);
  const attemptsExhausted = !step.longRunning && failures >= spec.maxAttempts;
  if (!attemptsExhausted || isFinal(p.phase)) return next;
  return { ...next, phase: "failed" };
}

/** Marks a task done; one `done` of a gang's run stands for all members. */
function completeTask(
  p: Progress,
  step: StepSpec,
  ref: TaskRef,
  run: number,
): Progress {
  const indexes = step.gang
    ? Array.from({ length: step.count }, (_, index) => index)
    : [ref.index];
  return indexes.reduce((next, index) => {
    const member = { ...ref, index };
    const task = taskAt(next, member);
    if (task === undefined) return next;
    const placementToStop = task.placement?.run === run
      ? undefined
      : task.placement;
    const done: TaskState = {
      done: true,
      lastRun: task.lastRun,
      failures: task.failures,
      checkpoint: "",
      ...(placementToStop !== undefined && { placement: placementToStop }),
    };
    return withTask(next, member, done);
  }, p);
}

function completeOccurrenceIfDone(
  p: Progress,
  spec: JobSpec,
  ref: TaskRef,
): Progress {
  const tasks = p.open.get(ref.occurrence);
  if (tasks === undefined) return p;
  if (!tasks.every((_, step) => isStepDone(tasks, step))) return p;
  const open = new Map(p.open);
  open.delete(ref.occurrence);
  const completedOccurrences = p.completedOccurrences + 1;
  const next = { ...p, open, completedOccurrences };
  if (completedOccurrences < occurrenceCount(spec) || isFinal(p.phase)) {
    return next;
  }
  return { ...next, phase: "completed" };
}

/** Cancels a job that has not reached a final state. */
export function cancelJob(p: Progress): Progress {
  return isFinal(p.phase) ? p : { ...p, phase: "cancelled" };
}

/** A run that may be under way. */
export interface PlacedTask {
  readonly ref: TaskRef;
  readonly task: TaskState;
  readonly placement: Placement;
}

/** Every run of a job that may be under way. */
export function placedTasks(p: Progress): readonly PlacedTask[] {
  const placed: PlacedTask[] = [];
  for (const [occurrence, steps] of p.open) {
    steps.forEach((tasks, step) =>
      tasks.forEach((task, index) => {
        const { placement } = task;
        if (placement === undefined) return;
        placed.push({ ref: { occurrence, step, index }, task, placement });
      })
    );
  }
  return placed;
}

/** Tasks that wait for a place and may start now. */
export function startableTasks(
  p: Progress,
  spec: JobSpec,
): readonly TaskRef[] {
  return readySteps(p, spec).flatMap(({ occurrence, step, tasks }) =>
    tasks.flatMap((task, index) =>
      isWaiting(task) ? [{ occurrence, step, index }] : []
    )
  );
}

/** A step of an open occurrence whose tasks may run now. */
export interface ReadyStep {
  readonly occurrence: number;
  readonly step: number;
  readonly tasks: readonly TaskState[];
  /** Number of its tasks that are not done. */
  readonly open: number;
  /** Number of those that wait for a place. */
  readonly waiting: number;
}

/**
 * Found ready steps. A progress never changes, and belongs to one job, but for
 * the first one, which has none for any job.
 */
const readyStepsByProgress = new WeakMap<Progress, readonly ReadyStep[]>();

/** The steps whose tasks may run now and are not all done. */
export function readySteps(p: Progress, spec: JobSpec): readonly ReadyStep[] {
  const cached = readyStepsByProgress.get(p);
  if (cached !== undefined) return cached;
  const ready = findReadySteps(p, spec);
  readyStepsByProgress.set(p, ready);
  return ready;
}

function findReadySteps(p: Progress, spec: JobSpec): readonly ReadyStep[] {
  if (isFinal(p.phase)) return [];
  const ready: ReadyStep[] = [];
  for (const [occurrence, steps] of p.open) {
    steps.forEach((tasks, step) => {
      const open = tasks.filter((task) => !task.done).length;
      if (open === 0 || !isStepReady(spec, steps, step)) return;
      const waiting = tasks.filter(isWaiting).length;
      ready.push({ occurrence, step, tasks, open, waiting });
    });
  }
  return ready;
}

/** Whether a task waits for a place. */
export function isWaiting({ done, placement }: TaskState): boolean {
  return !done && placement === undefined;
}

/** Whether a task of the job has ever started. */
export function hasBegun(p: Progress): boolean {
  return p.phase !== "queued";
}
