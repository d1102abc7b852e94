/**
 * A run of a task at an endpoint, as a shard's owner tracks it.
 *
 * Times are of the owner's monotonic clock, in ms, unless stated otherwise.
 */
import {
  type JobSpec,
  type StepSpec,
  taskName,
  type TaskRef,
} from "../batch/index.ts";

/**
 * Phase of a run.
 *
 * - `intended`: its placement is not committed yet, and no order was sent.
 * - `starting`: the start order is in flight.
 * - `running`: the endpoint has confirmed it.
 * - `doubtful`: it is not known whether it runs.
 * - `stopping`: a stop order is in flight or was confirmed.
 */
export type RunPhase =
  | "intended"
  | "starting"
  | "running"
  | "doubtful"
  | "stopping";

/** A run that may be in progress at an endpoint. */
export interface Run {
  /** Name of the task; unique across jobs. */
  readonly name: string;
  /** Id of the job. */
  readonly job: string;
  /** Workspace that submitted the job; undefined for none. */
  readonly workspace?: string;
  readonly ref: TaskRef;
  /** Number of the run among the runs of its task. */
  readonly run: number;
  readonly step: StepSpec;
  /** Input of the task. */
  readonly payload: string;
  phase: RunPhase;
  /** Time of the last change of the phase. */
  phaseChangedAt: number;
  /**
   * Time at which its start was sent; undefined for a run that an earlier
   * owner started or that resumed from a checkpoint.
   */
  startSentAt: number | undefined;
  /** Time at which a stop was confirmed. */
  stoppedAt: number | undefined;
  /**
   * Whether this incarnation of the endpoint has acknowledged the start: by an
   * answer with its clock, or in its lists.
   */
  isAcknowledged: boolean;
  /** Whether that has been recorded in the progress of the job. */
  isAcknowledgementRecorded: boolean;
  /**
   * Progress that the endpoint listed last, -1 if it is not known. A
   * long-running task reports 100 while it is serving.
   */
  percent: number;
  /** Time at which its start was sent or its percentage last changed. */
  progressedAt: number;
  /**
   * Load that the endpoint listed last: the tail latency in ms of a serving
   * task, else the CPU in use in thousandths of a core.
   */
  load: number | undefined;
  /**
   * Percentage of full speed that the run is allowed, 0 to 100; -1 if unknown.
   */
  pace: number;
  /** Last checkpoint; empty when there is none. */
  checkpoint: string;
  /** Ticket sent with its start; empty when the queue needs none. */
  readonly ticket: string;
}

/** What a new {@link Run} begins with. */
export interface RunOptions extends Pick<Run, "run" | "phase"> {
  readonly checkpoint?: string;
  readonly ticket?: string;
  readonly isAcknowledged?: boolean;
}

/** Creates a run of a task, of which nothing is known at the time `now`. */
export function createRun(
  spec: JobSpec,
  ref: TaskRef,
  now: number,
  options: RunOptions,
): Run {
  const { run, phase, checkpoint = "", ticket = "", isAcknowledged = false } =
    options;
  return {
    name: taskName(spec.id, ref),
    job: spec.id,
    workspace: spec.workspace,
    ref,
    run,
    step: spec.steps[ref.step],
    payload: spec.payload,
    phase,
    phaseChangedAt: now,
    startSentAt: undefined,
    stoppedAt: undefined,
    isAcknowledged,
    isAcknowledgementRecorded: isAcknowledged,
    percent: -1,
    progressedAt: now,
    load: undefined,
    pace: 100,
    checkpoint,
    ticket,
  };
}
