/**
 * Opens the due occurrences of jobs, and fails the jobs that no host can run.
 */
import { failJob, isFinal, type Resources } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import type { JobRegistry, TrackedJob } from "./job_registry.ts";
import { findOversizedStep } from "../placement/index.ts";

/** Dependencies of a {@link JobOpener}. */
export interface JobOpenerDependencies {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly jobs: JobRegistry;
  /** Capacities of the hosts of all pools, as far as they are known. */
  readonly knownHosts: () => readonly Resources[];
}

/** Opens the occurrences of one shard's jobs. */
export class JobOpener {
  /** Jobs of which a due occurrence has to wait for others to end. */
  readonly #heldBack = new WeakSet<TrackedJob>();

  constructor(private readonly deps: JobOpenerDependencies) {}

  /**
   * Opens the due occurrences of a job. Logs the first time that one has to
   * wait for others to end.
   */
  openDue(job: TrackedJob): void {
    const { clock, jobs, log, shard } = this.deps;
    const isHeldBack = jobs.openDue(job, clock.wall(), clock.now());
    if (!isHeldBack) this.#heldBack.delete(job);
    if (!isHeldBack || this.#heldBack.has(job)) return;
    this.#heldBack.add(job);
    log.decision("occurrence-held-back", {
      shard,
      job: job.spec.id,
      open: job.progress.open.size,
      next: job.progress.nextOccurrence,
    });
  }

  /** Logs a job with a task that no host can run; fails it if that is for good. */
  checkTaskSizes(job: TrackedJob): void {
    const { clock, jobs, log, shard } = this.deps;
    if (isFinal(job.progress.phase)) return;
    const oversized = findOversizedStep(job.spec, this.deps.knownHosts());
    if (oversized === undefined) return;
    const { kind, step } = oversized;
    log.decision(`job-${kind}`, { job: job.spec.id, shard, ...step.demand });
    if (kind === "no-host") return;
    jobs.update(job, failJob(job.progress), clock.now());
  }
}
