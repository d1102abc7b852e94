/**
 * In-memory registry of the jobs of one shard: their progress, which of them
 * differ from the store, and how many are waiting.
 */
import {
  cancelJob,
  changedRowKeys,
  decodeProgress,
  dueAt,
  encodeProgressRow,
  failJob,
  hasStarted,
  initialProgress,
  isFinal,
  isSplit,
  jobOfCancelKey,
  type JobProgress,
  type JobSpec,
  jobSpecSchema,
  obsoleteRowKeys,
  occurrenceCount,
  openOccurrences,
  parseProgressRowKey,
  progressRowKeys,
  type StoredProgress,
  taskCount,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import { hash32 } from "../hash.ts";
import {
  parseJson,
  type StoreRow,
  type StoreRowChange,
} from "../store/index.ts";

/** A job of the registry, with its progress and scheduling state. */
export interface TrackedJob {
  readonly spec: JobSpec;
  /** Version of its row in the inbox. */
  inboxVersion: number;
  /** Whether a write of that row has not been answered yet. */
  isRowChanging: boolean;
  progress: JobProgress;
  /** Endpoints where a task has failed or stalled, by the task's name. */
  readonly failedEndpoints: Map<string, Set<string>>;
  /** Number of runs that were stopped for a stall, by the task's name. */
  readonly stalls: Map<string, number>;
  /** Monotonic time in ms since which the job is known to be final. */
  finalSince: number | undefined;
  /** Evenly distributed pseudo-random number in [0, 1), from the job's id. */
  readonly randomFraction: number;
}

/**
 * Maximum number of tasks in the open occurrences of a job. It bounds the memory
 * of the owner and the list of open occurrences in the job's head row.
 */
const maxOpenTasks = 5_000;

/** Maps an id to a number in [0, 1), always the same for the same id. */
function randomFractionOf(id: string): number {
  return hash32(id) / 2 ** 32;
}

/** Final jobs whose payload is in the inbox, the one that ended first first. */
export class PayloadIndex {
  readonly #lengths = new Map<string, number>();
  #size = 0;

  /** Length of all the payloads. */
  get size(): number {
    return this.#size;
  }

  /** Ids of the jobs. */
  get ids(): Iterable<string> {
    return this.#lengths.keys();
  }

  /** Adds a job, if it is new and has a payload. */
  add({ id, payload }: JobSpec): void {
    if (payload.length === 0 || this.#lengths.has(id)) return;
    this.#lengths.set(id, payload.length);
    this.#size += payload.length;
  }

  /** Removes a job. */
  delete(id: string): void {
    this.#size -= this.#lengths.get(id) ?? 0;
    this.#lengths.delete(id);
  }
}

/** Registry of the jobs of one shard. */
export class JobRegistry {
  /** All jobs, by id. */
  readonly byId = new Map<string, TrackedJob>();
  /** Keys of the progress rows that may differ from the store. */
  readonly dirty = new Set<string>();
  /** Ids of jobs that are not final. */
  readonly active = new Set<string>();
  /** Payloads of jobs that are final. */
  readonly finalPayloads = new PayloadIndex();
  /** Stored progress of jobs that the inbox has not delivered yet, by id. */
  readonly #storedProgress = new Map<string, StoredProgress>();
  /** Keys of stored rows that are obsolete once the dirty rows are committed. */
  #obsolete: string[] = [];
  /** Ids of jobs whose cancellation was read before the job itself. */
  readonly #earlyCancellations = new Set<string>();
  /** Ids of forgotten jobs whose row may still be in the inbox. */
  readonly #forgotten = new Set<string>();

  /**
   * Loads the stored progress rows. Must be called before {@link applyInbox}.
   */
  loadStoredProgress(rows: readonly StoreRow[]): void {
    for (const row of rows) {
      const { job, part } = parseProgressRowKey(row.key);
      const { head, parts } = this.#storedProgress.get(job) ?? { parts: [] };
      this.#storedProgress.set(
        job,
        part === undefined
          ? { head: row.value, parts }
          : { head, parts: [...parts, row] },
      );
    }
  }

  /**
   * Applies changes of the inbox: accepts new jobs and cancels jobs. Returns
   * the jobs that are new or cancelled.
   */
  applyInbox(
    changes: readonly StoreRowChange[],
    now: number,
  ): readonly TrackedJob[] {
    const changedJobs = new Set<TrackedJob>();
    for (const change of changes) {
      const cancelledId = jobOfCancelKey(change.row.key);
      if (change.kind === "removed") {
        this.#forgotten.delete(change.row.key);
        this.#earlyCancellations.delete(cancelledId ?? "");
        continue;
      }
      const job = cancelledId === undefined
        ? this.#accept(change.row, now)
        : this.#cancel(cancelledId, now);
      if (job !== undefined) changedJobs.add(job);
    }
    return [...changedJobs];
  }

  /**
   * Replaces a job's progress and marks the changed rows dirty; does nothing if
   * it is the same.
   */
  update(job: TrackedJob, progress: JobProgress, now: number): void {
    if (progress === job.progress) return;
    const { spec, progress: before } = job;
    job.progress = progress;
    for (const key of changedRowKeys(spec, before, progress)) {
      this.dirty.add(key);
    }
    this.#obsolete.push(...obsoleteRowKeys(spec, before, progress));
    this.#updatePhaseIndex(job, now);
  }

  /**
   * Opens the occurrences of a job that are due at the wall-clock time `wall`,
   * as far as {@link maxOpenTasks} allows. Does not mark the job dirty. Returns
   * whether a due occurrence has to wait for others to end.
   */
  openDue(job: TrackedJob, wall: number, now: number): boolean {
    const { spec, progress } = job;
    if (isFinal(progress.phase)) return false;
    const { nextOccurrence, open } = progress;
    const count = occurrenceCount(spec);
    const isDue = (k: number) => k < count && wall >= dueAt(spec, k);
    const maxOpen = Math.max(1, maxOpenTasks / taskCount(spec.steps));
    let next = nextOccurrence;
    while (isDue(next) && open.size + next - nextOccurrence + 1 <= maxOpen) {
      next++;
    }
    if (next > nextOccurrence) {
      job.progress = openOccurrences(progress, spec, next - nextOccurrence);
      this.#updatePhaseIndex(job, now);
    }
    return isDue(next);
  }

  /**
   * Fails the job of a progress row that the store does not accept. It keeps no
   * tasks, so that its head row is small. Returns its id; undefined if the job is
   * not known or its head row is already that small, and then is not stored.
   */
  failUnstorable(key: string, now: number): string | undefined {
    const job = this.byId.get(parseProgressRowKey(key).job);
    if (job === undefined) return undefined;
    const { phase, open } = job.progress;
    if (isFinal(phase) && open.size === 0) return undefined;
    const failed = { ...failJob(job.progress), open: new Map() };
    this.update(job, failed, now);
    return job.spec.id;
  }

  /** Keys of the rows that have become obsolete since the last call. */
  takeObsoleteRows(): readonly string[] {
    const keys = this.#obsolete;
    this.#obsolete = [];
    return keys;
  }

  /** Records that a task failed or stalled at an endpoint. */
  recordFailure(job: TrackedJob, ref: TaskRef, endpoint: string): void {
    const name = taskName(job.spec.id, ref);
    const endpoints = job.failedEndpoints.get(name) ?? new Set();
    job.failedEndpoints.set(name, endpoints.add(endpoint));
  }

  /** Records that a run of a task is stopped for a stall at an endpoint. */
  recordStall(job: TrackedJob, ref: TaskRef, endpoint: string): void {
    const name = taskName(job.spec.id, ref);
    job.stalls.set(name, (job.stalls.get(name) ?? 0) + 1);
    this.recordFailure(job, ref, endpoint);
  }

  /** Number of jobs that have not started any task, by queue. */
  waitingByQueue(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const id of this.active) {
      const job = this.byId.get(id);
      if (job === undefined || hasStarted(job.progress)) continue;
      counts[job.spec.queue] = (counts[job.spec.queue] ?? 0) + 1;
    }
    return counts;
  }

  /**
   * Value of a progress row; undefined for an unknown job or an obsolete row.
   */
  encodedProgress(key: string): string | undefined {
    const job = this.byId.get(parseProgressRowKey(key).job);
    return job && encodeProgressRow(job.spec, job.progress, key);
  }

  /**
   * The jobs that have been final for more than `ageMs`, and whose row in the
   * inbox is known.
   */
  expired(now: number, ageMs: number): readonly TrackedJob[] {
    return [...this.byId.values()].filter((j) =>
      !j.isRowChanging && j.finalSince !== undefined &&
      now - j.finalSince > ageMs
    );
  }

  /**
   * Notes the progress of jobs that are not in the inbox, which has been read
   * whole: an earlier owner was removing them.
   */
  noteOrphanedProgress(): void {
    for (const [job, { head, parts }] of this.#storedProgress) {
      if (head !== undefined) this.#obsolete.push(job);
      this.#obsolete.push(...parts.map(({ key }) => key));
    }
    this.#storedProgress.clear();
  }

  /**
   * Prepares for the rows of the whole inbox, which is read at the start and after
   * the store has dropped its history. They are then applied with
   * {@link applyInbox}, a part at a time.
   */
  beginReset(rows: readonly StoreRow[]): void {
    const listed = new Set(rows.map((row) => row.key));
    for (const id of this.#forgotten) {
      if (!listed.has(id)) this.#forgotten.delete(id);
    }
    this.#earlyCancellations.clear();
  }

  /** Applies the whole inbox at once. */
  resetInbox(rows: readonly StoreRow[], now: number): readonly TrackedJob[] {
    this.beginReset(rows);
    return this.applyInbox(rows.map((row) => ({ kind: "put", row })), now);
  }

  /**
   * Removes a job from the registry. Its row in the inbox is not accepted again
   * before it has been removed. Returns the keys of its progress rows.
   */
  forget(id: string): readonly string[] {
    const job = this.byId.get(id);
    const rows = job ? progressRowKeys(job.spec, job.progress) : [];
    this.#forgotten.add(id);
    this.byId.delete(id);
    for (const key of rows) this.dirty.delete(key);
    this.active.delete(id);
    this.finalPayloads.delete(id);
    this.#earlyCancellations.delete(id);
    return rows;
  }

  /** Adds the job of an inbox row; undefined if it is known or invalid. */
  #accept(row: StoreRow, now: number): TrackedJob | undefined {
    if (this.byId.has(row.key) || this.#forgotten.has(row.key)) {
      return undefined;
    }
    const spec = parseJson(jobSpecSchema, row.value);
    if (spec === undefined) return undefined;
    const stored = this.#storedProgress.get(row.key);
    const storedProgress = stored === undefined
      ? undefined
      : decodeProgress(stored, spec);
    this.#storedProgress.delete(row.key);
    const job: TrackedJob = {
      spec,
      inboxVersion: row.version,
      isRowChanging: false,
      progress: storedProgress ?? initialProgress,
      failedEndpoints: new Map(),
      stalls: new Map(),
      finalSince: undefined,
      randomFraction: randomFractionOf(spec.id),
    };
    this.byId.set(spec.id, job);
    this.#updatePhaseIndex(job, now);
    if (stored !== undefined) this.#reconcileRows(job, stored);
    if (this.#earlyCancellations.has(spec.id)) this.#cancel(spec.id, now);
    return job;
  }

  /**
   * Marks the rows of a loaded job that may have to be written: the head, as the
   * parts may tell more than it, and before it the parts if an older release has
   * stored the job in one row. Notes the parts that a crash has left behind.
   */
  #reconcileRows(
    { spec, progress }: TrackedJob,
    { parts }: StoredProgress,
  ): void {
    if (!isSplit(spec)) return;
    const [head, ...partKeys] = progressRowKeys(spec, progress);
    const written = parts.length === 0 ? [...partKeys, head] : [head];
    for (const key of written) this.dirty.add(key);
    const current = new Set(partKeys);
    this.#obsolete.push(
      ...parts.map(({ key }) => key).filter((key) => !current.has(key)),
    );
  }

  /** Cancels a job, now or once it is accepted. */
  #cancel(id: string, now: number): TrackedJob | undefined {
    const job = this.byId.get(id);
    if (job === undefined) {
      this.#earlyCancellations.add(id);
      return undefined;
    }
    this.update(job, cancelJob(job.progress), now);
    return job;
  }

  /**
   * Updates the set of active jobs, and the time since which a job is final.
   */
  #updatePhaseIndex(job: TrackedJob, now: number): void {
    const { id } = job.spec;
    if (!isFinal(job.progress.phase)) {
      this.active.add(id);
      return;
    }
    this.active.delete(id);
    if (job.finalSince === undefined) this.finalPayloads.add(job.spec);
    job.finalSince ??= now;
  }
}
