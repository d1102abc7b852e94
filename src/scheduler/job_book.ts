/**
 * The jobs of one shard in memory: accepted ones with their progress, which
 * of them differ from the store, and how many wait.
 */
import {
  cancelJob,
  cancelledJob,
  decodeProgress,
  dueAt,
  encodeProgress,
  freshProgress,
  hasBegun,
  isFinal,
  type JobSpec,
  jobSpecSchema,
  occurrenceCount,
  openOccurrence,
  type Progress,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import { hash32 } from "../hash.ts";
import { parseJson, type Row, type RowChange } from "../store/index.ts";

/** A job with its progress. */
export interface BookedJob {
  readonly spec: JobSpec;
  progress: Progress;
  /** Endpoints where a task has failed or stood still, by its name. */
  readonly failedAt: Map<string, Set<string>>;
  /** Steady time at which the job was seen to be final. */
  finalSince: number | undefined;
  /** Drawn evenly from 0 to 1 by the job's id. */
  readonly lot: number;
}

/** A number from 0 to 1 that stays the same for an id. */
function randomFractionOf(id: string): number {
  return hash32(id) / 2 ** 32;
}

/** The jobs of one shard. */
export class JobBook {
  readonly jobs = new Map<string, BookedJob>();
  /** Jobs whose progress the store does not hold yet. */
  readonly dirty = new Set<string>();
  /** Jobs that may have tasks to place. */
  readonly active = new Set<string>();
  readonly #storedProgress = new Map<string, string>();
  /** Cancel marks that came before their job was known. */
  readonly #earlyCancellations = new Set<string>();

  /** Takes the stored progress, before the inbox is read. */
  loadStoredProgress(rows: readonly Row[]): void {
    for (const row of rows) this.#storedProgress.set(row.key, row.value);
  }

  /** Takes rows of the inbox; returns the jobs that are new or changed. */
  takeInbox(changes: readonly RowChange[], now: number): readonly BookedJob[] {
    const changedJobs = new Set<BookedJob>();
    for (const change of changes) {
      if (change.kind === "removed") continue;
      const cancelledId = cancelledJob(change.row.key);
      const job = cancelledId === undefined
        ? this.#accept(change.row, now)
        : this.#cancel(cancelledId, now);
      if (job !== undefined) changedJobs.add(job);
    }
    return [...changedJobs];
  }

  /** Replaces a job's progress. */
  update(job: BookedJob, progress: Progress, now: number): void {
    if (progress === job.progress) return;
    job.progress = progress;
    this.dirty.add(job.spec.id);
    this.#updatePhaseIndex(job, now);
  }

  /** Opens the occurrences whose time has come. */
  openDue(job: BookedJob, wall: number, now: number): void {
    const { spec } = job;
    while (
      !isFinal(job.progress.phase) &&
      job.progress.nextOccurrence < occurrenceCount(spec) &&
      wall >= dueAt(spec, job.progress.nextOccurrence)
    ) {
      job.progress = openOccurrence(job.progress, spec);
      this.#updatePhaseIndex(job, now);
    }
  }

  /** Remembers that a task failed or stood still at an endpoint. */
  recordFailure(job: BookedJob, ref: TaskRef, endpoint: string): void {
    const name = taskName(job.spec.id, ref);
    const endpoints = job.failedAt.get(name) ?? new Set();
    job.failedAt.set(name, endpoints.add(endpoint));
  }

  /** Number of jobs without a started task, by queue. */
  waitingByQueue(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const id of this.active) {
      const job = this.jobs.get(id);
      if (job === undefined || hasBegun(job.progress)) continue;
      counts[job.spec.queue] = (counts[job.spec.queue] ?? 0) + 1;
    }
    return counts;
  }

  /** The stored form of a job's progress. */
  encodedProgress(id: string): string | undefined {
    const job = this.jobs.get(id);
    return job && encodeProgress(job.progress);
  }

  /** Jobs that have been final for `ageMs`. */
  expiredJobs(now: number, ageMs: number): readonly string[] {
    return [...this.jobs.values()]
      .filter((j) => j.finalSince !== undefined && now - j.finalSince > ageMs)
      .map((j) => j.spec.id);
  }

  /** Forgets a job whose rows were removed. */
  forget(id: string): void {
    this.jobs.delete(id);
    this.dirty.delete(id);
    this.active.delete(id);
    this.#earlyCancellations.delete(id);
  }

  #accept(row: Row, now: number): BookedJob | undefined {
    if (this.jobs.has(row.key)) return undefined;
    const spec = parseJson(jobSpecSchema, row.value);
    if (spec === undefined) return undefined;
    const stored = this.#storedProgress.get(row.key);
    const storedProgress = stored === undefined
      ? undefined
      : decodeProgress(stored, spec);
    this.#storedProgress.delete(row.key);
    const job: BookedJob = {
      spec,
      progress: storedProgress ?? freshProgress,
      failedAt: new Map(),
      finalSince: undefined,
      lot: randomFractionOf(spec.id),
    };
    this.jobs.set(spec.id, job);
    this.#updatePhaseIndex(job, now);
    if (this.#earlyCancellations.has(spec.id)) this.#cancel(spec.id, now);
    return job;
  }

  #cancel(id: string, now: number): BookedJob | undefined {
    const job = this.jobs.get(id);
    if (job === undefined) {
      this.#earlyCancellations.add(id);
      return undefined;
    }
    this.update(job, cancelJob(job.progress), now);
    return job;
  }

  #updatePhaseIndex(job: BookedJob, now: number): void {
    const { id } = job.spec;
    if (!isFinal(job.progress.phase)) {
      this.active.add(id);
      return;
    }
    this.active.delete(id);
    job.finalSince ??= now;
  }
}
