/**
 * Progress of a job: an immutable value and its state transitions.
 *
 * Invariants: a task starts only after the steps that its step depends on are
 * done; a run number is never reused; a completed task never starts again; a
 * failed run is counted once, because only the end of the task's current
 * placement is counted.
 */
import { type JobSpec, occurrenceCount, type StepSpec } from "./job_spec.ts";
import type { TaskRef } from "./task_ref.ts";

/** The endpoint that a run was assigned to; the run may not have started. */
export interface Placement {
  /** Run number; rises with each run of the task. */
  readonly run: number;
  /** Id of the endpoint. */
  readonly endpoint: string;
  /** Start of the endpoint's incarnation, in ms since the Unix epoch. */
  readonly life: number;
  /**
   * Whether that incarnation is known to have acknowledged the start. Otherwise
   * a later one may have carried it out, or may still do so.
   */
  readonly isAcknowledged?: boolean;
}

/** State of one task. */
export interface TaskState {
  readonly done: boolean;
  /** Highest run number used so far; 0 before the first run. */
  readonly lastRun: number;
  /** Number of failed runs. */
  readonly failures: number;
  /** Last known checkpoint; empty for none. */
  readonly checkpoint: string;
  /** Placement of the run that may be in progress. */
  readonly placement?: Placement;
}

/** Phases of a job; the last three are final. */
export const jobPhases = [
  "queued",
  "running",
  "completed",
  "failed",
  "cancelled",
] as const;
/** Phase of a job. */
export type JobPhase = typeof jobPhases[number];

/** Tasks of an occurrence, indexed by step and then by task. */
export type OccurrenceTasks = readonly (readonly TaskState[])[];

/** Progress of one job. */
export interface JobProgress {
  readonly phase: JobPhase;
  /** Occurrences that have been opened and are not complete, by number. */
  readonly open: ReadonlyMap<number, OccurrenceTasks>;
  /** Number of the next occurrence to open. */
  readonly nextOccurrence: number;
  readonly completedOccurrences: number;
}

/**
 * How a run ended. `lapsed`: its endpoint ended it when the lease expired.
 * `broken`: another member of its gang has ended. `alone`: it waited for the
 * other members of its gang until the gang timeout. `lost`: its endpoint's
 * incarnation or lease was over before an end was reported. `not-started`: it
 * is known never to have started.
 */
export type RunEnd =
  | "done"
  | "failed"
  | "stopped"
  | "lapsed"
  | "broken"
  | "alone"
  | "lost"
  | "not-started";

const initialTask: TaskState = {
  done: false,
  lastRun: 0,
  failures: 0,
  checkpoint: "",
};

/** Progress of a newly accepted job. */
export const initialProgress: JobProgress = {
  phase: "queued",
  open: new Map(),
  nextOccurrence: 0,
  completedOccurrences: 0,
};

/** Whether a phase is final. */
export function isFinal(phase: JobPhase): boolean {
  return phase !== "queued" && phase !== "running";
}

/** The task at a position; undefined if its occurrence is not open. */
export function taskAt(p: JobProgress, ref: TaskRef): TaskState | undefined {
  return p.open.get(ref.occurrence)?.[ref.step]?.[ref.index];
}

/** Initial task states of one occurrence. */
export function initialTasks(steps: readonly StepSpec[]): OccurrenceTasks {
  return steps.map((step) => Array<TaskState>(step.count).fill(initialTask));
}

/** Opens the next occurrences with all their tasks in their initial state. */
export function openOccurrences(
  p: JobProgress,
  spec: JobSpec,
  count: number,
): JobProgress {
  const open = new Map(p.open);
  const nextOccurrence = p.nextOccurrence + count;
  for (let k = p.nextOccurrence; k < nextOccurrence; k++) {
    open.set(k, initialTasks(spec.steps));
  }
  return { ...p, open, nextOccurrence };
}

function withTask(p: JobProgress, ref: TaskRef, task: TaskState): JobProgress {
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

/** Whether all dependencies of a step are done. */
export function isStepReady(
  spec: JobSpec,
  tasks: OccurrenceTasks,
  step: number,
): boolean {
  return spec.steps[step].after.every((before) => isStepDone(tasks, before));
}

/** Number of a task's next run; the members of a gang share one number. */
export function nextRunNumber(
  p: JobProgress,
  spec: JobSpec,
  ref: TaskRef,
): number {
  const tasks = p.open.get(ref.occurrence)?.[ref.step] ?? [];
  if (!spec.steps[ref.step].gang) return tasks[ref.index].lastRun + 1;
  return Math.max(...tasks.map((task) => task.lastRun)) + 1;
}

/** The value that occurs most often; the first of several, "" for none. */
function mostFrequent(values: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  let most = "";
  for (const [value, count] of counts) {
    if (count > (counts.get(most) ?? 0)) most = value;
  }
  return most;
}

/**
 * Checkpoint that a task's next run starts with; empty for none. All members of
 * a gang start with the same one, which may be that of any member.
 */
export function startCheckpoint(
  p: JobProgress,
  spec: JobSpec,
  ref: TaskRef,
): string {
  const tasks = p.open.get(ref.occurrence)?.[ref.step] ?? [];
  if (!spec.steps[ref.step].gang) return tasks[ref.index]?.checkpoint ?? "";
  const saved = tasks.map((task) => task.checkpoint);
  return mostFrequent(saved.filter((checkpoint) => checkpoint !== ""));
}

/**
 * Records the intent to start a run. Throws if the task is done or already
 * placed.
 */
export function placeTask(
  p: JobProgress,
  ref: TaskRef,
  placement: Placement,
): JobProgress {
  const task = taskAt(p, ref);
  if (task === undefined || task.done || task.placement !== undefined) {
    throw new Error(`task ${JSON.stringify(ref)} is not waiting`);
  }
  const placed = { ...task, lastRun: placement.run, placement };
  return withTask(p, ref, placed);
}

/**
 * Records that a run of a waiting task is in progress although no placement
 * says so, because its endpoint lists it. A placement of the same run is
 * replaced. Returns undefined if the task is not to run, or is placed as another
 * run.
 */
export function adoptRun(
  p: JobProgress,
  ref: TaskRef,
  placement: Placement,
): JobProgress | undefined {
  const task = taskAt(p, ref);
  if (isFinal(p.phase) || task === undefined || task.done) return undefined;
  const placedRun = task.placement?.run ?? placement.run;
  if (placedRun !== placement.run) return undefined;
  const lastRun = Math.max(task.lastRun, placement.run);
  return withTask(p, ref, { ...task, lastRun, placement });
}

/**
 * Records that an incarnation of the endpoint has acknowledged the start of a
 * task's run. It may be a later one than the start was meant for. Returns the
 * progress unchanged if that is recorded, or the task has no such run.
 */
export function acknowledgeRun(
  p: JobProgress,
  ref: TaskRef,
  { run, life }: Pick<Placement, "run" | "life">,
): JobProgress {
  const task = taskAt(p, ref);
  const placement = task?.placement;
  if (task === undefined || placement?.run !== run) return p;
  if (placement.isAcknowledged && placement.life === life) return p;
  const acknowledged = { ...placement, life, isAcknowledged: true };
  return withTask(p, ref, { ...task, placement: acknowledged });
}

/** Moves a queued job to `running`; called when an endpoint confirms a run. */
export function markJobRunning(p: JobProgress): JobProgress {
  return p.phase === "queued" ? { ...p, phase: "running" } : p;
}

/**
 * Records the end of a run. A `done` of an earlier run also completes the task,
 * because the work is done whichever run did it. Any other end of an earlier
 * run is ignored.
 */
export function recordRunEnd(
  p: JobProgress,
  spec: JobSpec,
  ref: TaskRef,
  run: number,
  end: RunEnd,
  checkpoint = "",
): JobProgress {
  const task = taskAt(p, ref);
  if (task === undefined || task.done) return p;
  const step = spec.steps[ref.step];
  if (end === "done" && !step.longRunning) {
    const withTaskDone = markJobRunning(completeTask(p, step, ref, run));
    return completeOccurrenceIfDone(withTaskDone, spec, ref);
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
  return hasExhaustedAttempts(spec, step, ended) ? failJob(next) : next;
}

/** Whether a task has failed as often as its queue allows. */
export function hasExhaustedAttempts(
  { maxAttempts }: JobSpec,
  step: StepSpec,
  task: TaskState,
): boolean {
  return !step.longRunning && !task.done && task.failures >= maxAttempts;
}

/**
 * Marks a task as done, and with it all members of a gang. Keeps the placement
 * of another run that may still be in progress, so that it can be stopped.
 */
export function completeTask(
  p: JobProgress,
  step: StepSpec,
  ref: TaskRef,
  run: number,
): JobProgress {
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

/** Closes an occurrence once its tasks are done; the last completes the job. */
export function completeOccurrenceIfDone(
  p: JobProgress,
  spec: JobSpec,
  { occurrence }: Pick<TaskRef, "occurrence">,
): JobProgress {
  const tasks = p.open.get(occurrence);
  if (tasks === undefined) return p;
  if (!tasks.every((_, step) => isStepDone(tasks, step))) return p;
  const open = new Map(p.open);
  open.delete(occurrence);
  const completedOccurrences = p.completedOccurrences + 1;
  const next = { ...p, open, completedOccurrences };
  if (completedOccurrences < occurrenceCount(spec) || isFinal(p.phase)) {
    return next;
  }
  return { ...next, phase: "completed" };
}

/** Fails a job unless its phase is final. */
export function failJob(p: JobProgress): JobProgress {
  return isFinal(p.phase) ? p : { ...p, phase: "failed" };
}

/** Cancels a job unless its phase is final. */
export function cancelJob(p: JobProgress): JobProgress {
  return isFinal(p.phase) ? p : { ...p, phase: "cancelled" };
}

/** A task with a run that may be in progress. */
export interface PlacedTask {
  readonly ref: TaskRef;
  readonly task: TaskState;
  readonly placement: Placement;
}

/** All tasks of a job with a run that may be in progress. */
export function placedTasks(p: JobProgress): readonly PlacedTask[] {
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

/** Whether a task has had a run, so that its state has to be stored. */
export function hasRun({ lastRun, done }: TaskState): boolean {
  return lastRun > 0 || done;
}

/** Whether the job has left the `queued` phase. */
export function hasStarted(p: JobProgress): boolean {
  return p.phase !== "queued";
}
