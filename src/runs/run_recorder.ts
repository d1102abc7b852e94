/** Records confirmed and ended runs in the progress of their jobs. */
import {
  acknowledgeRun,
  adoptRun,
  isFinal,
  type JobSpec,
  markJobRunning,
  type Placement,
  recordRunEnd,
  type RunEnd,
  taskAt,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import type { DecisionFields, DecisionLog } from "../telemetry/index.ts";
import type { EndpointSession, Run } from "../sessions/index.ts";
import type { JobRegistry } from "../shard_jobs/index.ts";
import type { RunTimes } from "./run_times.ts";

/**
 * Time for which a run has to last before its acknowledgement is recorded, in
 * ms. Most runs end sooner, and the row of their job is written then anyway.
 */
const recordedAfterMs = 1_000;

/** Dependencies of a {@link RunRecorder}. */
export interface RunRecorderDependencies {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly jobs: JobRegistry;
  readonly runTimes: RunTimes;
  /** Stops all runs of a job. */
  readonly stopJob: (job: string) => void;
  /** Stops the runs of a task other than `run`. */
  readonly stopOtherRuns: (job: string, ref: TaskRef, run: number) => void;
  /** Called after the end of a run, which may free resources. */
  readonly onEnd: () => void;
}

/**
 * Log fields about the run that a task is placed as, if it is not `run`: a run
 * that has ended although its task had been placed again.
 */
function otherRunFields(
  run: number,
  placement: Placement | undefined,
): DecisionFields {
  if (placement === undefined || placement.run === run) return {};
  return { placedRun: placement.run, placedOn: placement.endpoint };
}

/** Records what becomes of the runs of one shard. */
export class RunRecorder {
  constructor(private readonly deps: RunRecorderDependencies) {}

  /**
   * Whether a run is still wanted: its job is not final, and its task has this
   * run.
   */
  mayStart(run: Run): boolean {
    const job = this.deps.jobs.byId.get(run.job);
    if (job === undefined || isFinal(job.progress.phase)) return false;
    return taskAt(job.progress, run.ref)?.placement?.run === run.run;
  }

  /**
   * Marks the job of a confirmed run as running. This needs no commit of its
   * own: the next write of the job stores it.
   */
  recordConfirmed(run: Run): void {
    const job = this.deps.jobs.byId.get(run.job);
    if (job !== undefined) job.progress = markJobRunning(job.progress);
  }

  /**
   * Records the acknowledgements of the runs of a session, so that a later owner
   * knows them. They are stored with the next commit, whatever it is made for.
   * Returns whether one is to be stored at once: that of a long-running task, which
   * is owed again soon after its end.
   */
  recordAcknowledgements(
    { runs, endpoint }: Pick<EndpointSession, "runs" | "endpoint">,
  ): boolean {
    let isUrgent = false;
    const now = this.deps.clock.now();
    for (const run of runs.values()) {
      if (!run.isAcknowledged || run.isAcknowledgementRecorded) continue;
      const isDue = now - run.phaseChangedAt >= recordedAfterMs;
      const { longRunning } = run.step;
      if (!isDue && !longRunning) continue;
      this.#recordAcknowledgement(run, endpoint.life, now);
      isUrgent ||= longRunning;
    }
    return isUrgent;
  }

  #recordAcknowledgement(run: Run, life: number, now: number): void {
    run.isAcknowledgementRecorded = true;
    const { jobs } = this.deps;
    const job = jobs.byId.get(run.job);
    if (job === undefined) return;
    const acknowledged = { run: run.run, life };
    jobs.update(job, acknowledgeRun(job.progress, run.ref, acknowledged), now);
  }

  /**
   * Records a listed run as the placement of its task; returns its job, or
   * undefined if the run is not wanted. Members of a gang are not adopted,
   * because a gang runs only as a whole.
   */
  adoptPlacement(
    id: string,
    ref: TaskRef,
    placement: Placement,
  ): JobSpec | undefined {
    const { clock, jobs } = this.deps;
    const job = jobs.byId.get(id);
    if (job === undefined || job.spec.steps[ref.step]?.gang) return undefined;
    const next = adoptRun(job.progress, ref, placement);
    if (next === undefined) return undefined;
    jobs.update(job, next, clock.now());
    return job.spec;
  }

  /** Records the end of a tracked run, or the loss of an orphan run. */
  recordTrackedEnd(run: Run, end: RunEnd, checkpoint: string): void {
    if (end === "done") this.#recordRunTime(run);
    const { job, ref, checkpoint: lastCheckpoint } = run;
    this.recordEnd(job, ref, run.run, end, checkpoint || lastCheckpoint);
  }

  /** Records the end of a run in the progress of its job. */
  recordEnd(
    id: string,
    ref: TaskRef,
    run: number,
    end: RunEnd,
    checkpoint: string,
  ): void {
    const { clock, log, shard, jobs } = this.deps;
    const job = jobs.byId.get(id);
    if (job === undefined) return;
    const { spec, progress } = job;
    const placement = taskAt(progress, ref)?.placement;
    if (end === "failed" && placement?.run === run) {
      jobs.recordFailure(job, ref, placement.endpoint);
    }
    const next = recordRunEnd(progress, spec, ref, run, end, checkpoint);
    jobs.update(job, next, clock.now());
    log.decision("task-ended", {
      job: id,
      task: taskName(id, ref),
      run,
      end,
      shard,
      phase: next.phase,
      known: placement?.run === run,
      ...otherRunFields(run, placement),
    });
    if (isFinal(next.phase)) this.deps.stopJob(id);
    else if (end === "done") this.deps.stopOtherRuns(id, ref, run);
    this.deps.onEnd();
  }

  /** Adds the duration of a run to the run time statistics of its queue. */
  #recordRunTime({ job, step, startSentAt }: Run): void {
    const { clock, jobs, runTimes } = this.deps;
    const queue = jobs.byId.get(job)?.spec.queue;
    if (queue === undefined || startSentAt === undefined) return;
    runTimes.record(queue, step, clock.now() - startSentAt);
  }
}
