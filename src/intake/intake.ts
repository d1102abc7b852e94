/**
 * Accepts, reports and cancels jobs. Any entry can serve these requests.
 *
 * A job is reported as accepted after the store has confirmed the commit, and
 * as not accepted only when it is certain that the store has not stored it and
 * will not do so later. Any other outcome is reported as unknown; the caller
 * may then send the same request again.
 */
import { Buffer } from "node:buffer";
import { Ok, type Result } from "ts-results";
import {
  cancelKey,
  decodePhase,
  inboxKey,
  type JobPhase,
  type JobSpec,
  progressKey,
  singleKeyRange,
  waitingCountsKey,
  waitingCountsSchema,
} from "../batch/index.ts";
import type { Queue } from "../catalog/index.ts";
import { type Clock, delay } from "../clock/index.ts";
import { codes, fail, type Failure } from "../errors/index.ts";
import {
  maxRowBytes,
  parseJson,
  type RowPut,
  type Store,
  type StoreBreaker,
  type StoreFailure,
} from "../store/index.ts";
import { RecentSubmissions } from "./recent_submissions.ts";

/** Pause before a failed store call is retried, in ms. */
const retryPauseMs = 40;

/** Time during which a submission that the store refuses is retried, in ms. */
const refusedRetryMs = 120;

/** Time before the caller's deadline that is reserved for the answer, in ms. */
const answerReserveMs = 150;

/** The job that a request is about, its queue, and the caller's deadline. */
export interface IntakeRequest {
  readonly queue: Queue;
  /** Id of the job. */
  readonly job: string;
  /** Monotonic time in ms by which the caller needs the answer. */
  readonly deadline: number;
}

/**
 * Converts a failure of the store: `recordUnavailable` if the store refused the
 * call, else `recordUnknown`. If another attempt may have been applied, a
 * refusal of this one does not prove otherwise, and the result is unknown.
 */
function toFailure({ kind, message }: StoreFailure, mayBeApplied: boolean) {
  const refused = kind === "refused" && !mayBeApplied;
  return fail(refused ? codes.recordUnavailable : codes.recordUnknown, message);
}

/** Failure of a submission while the store is known not to answer. */
const storeSilent: StoreFailure = {
  kind: "refused",
  message: "the store does not answer",
};

/** The row of a submitted job with this value. */
function inboxRow({ queue, job }: IntakeRequest, value: string): RowPut {
  return { ...inboxKey(queue.pool, job), value };
}

/** Serves the callers' requests about jobs from the store. */
export class Intake {
  readonly #recent: RecentSubmissions;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    /** Open while the store is known not to answer. */
    private readonly breaker: Pick<StoreBreaker, "isOpen">,
  ) {
    this.#recent = new RecentSubmissions(clock);
  }

  /**
   * Stores a job. Fails with `recordUnavailable` when it is certain that the job
   * was not stored, without a call if the store is known not to answer. Fails
   * with `recordUnknown` when the job may have been stored, also by another
   * submission of the same job at this entry. Fails with `jobTooLarge` when no
   * row holds the job.
   */
  async submit(
    req: IntakeRequest,
    spec: JobSpec,
  ): Promise<Result<"accepted", Failure>> {
    const value = JSON.stringify(spec);
    const bytes = Buffer.byteLength(value);
    if (bytes > maxRowBytes) {
      const message = `the job takes ${bytes} bytes; at most ${maxRowBytes}`;
      return fail(codes.jobTooLarge, message);
    }
    const job = `${req.queue.pool}\n${spec.id}`;
    this.#recent.begin(job);
    try {
      return await this.#store(req, inboxRow(req, value), job);
    } finally {
      this.#recent.end(job);
    }
  }

  /** Stores a job's row; `job` identifies it among the recent submissions. */
  async #store(
    req: IntakeRequest,
    row: RowPut,
    job: string,
  ): Promise<Result<"accepted", Failure>> {
    const recent = this.#recent;
    if (recent.known(job) === "stored") return Ok("accepted");
    if (this.breaker.isOpen) {
      const mayBeStored = recent.known(job) === "unknown";
      return toFailure(storeSilent, mayBeStored);
    }
    const { table, partition, key } = row;
    const tx = {
      checks: [{ table, partition, key, version: 0 }],
      puts: [row],
      removes: [],
    };
    const startedAt = this.clock.now();
    for (;;) {
      const outcome = await this.store.commit(tx);
      // On a conflict the row exists already: it holds the same job.
      if (outcome.ok) recent.recordStored(job);
      else if (outcome.val.kind !== "refused") recent.recordUnknown(job);
      const known = recent.known(job);
      if (outcome.ok || known === "stored") return Ok("accepted");
      const mayBeStored = known === "unknown";
      const now = this.clock.now();
      const giveUpAt = mayBeStored
        ? req.deadline - answerReserveMs
        : Math.min(req.deadline - answerReserveMs, startedAt + refusedRetryMs);
      if (now >= giveUpAt) return toFailure(outcome.val, mayBeStored);
      await delay(this.clock, retryPauseMs);
    }
  }

  /**
   * Returns the phase of a job; undefined when no such job exists. Fails with
   * `recordUnavailable` or `recordUnknown` when the store cannot be read before
   * the deadline.
   */
  async jobPhase(
    req: IntakeRequest,
  ): Promise<Result<JobPhase | undefined, Failure>> {
    const { pool } = req.queue;
    const progress = await this.#read(progressKey(pool, req.job), req.deadline);
    if (progress.err) return progress;
    const phase = decodePhase(progress.val ?? "");
    if (phase !== undefined) return Ok(phase);
    const accepted = await this.#read(inboxKey(pool, req.job), req.deadline);
    return accepted.map((value) => value === undefined ? undefined : "queued");
  }

  /**
   * Records the cancellation of a job; false when no such job exists. Fails
   * with `recordUnknown` when no attempt is confirmed before the deadline.
   */
  async cancel(req: IntakeRequest): Promise<Result<boolean, Failure>> {
    const key = inboxKey(req.queue.pool, req.job);
    const cancelRow = cancelKey(req.queue.pool, req.job);
    for (;;) {
      const found = await this.store.range(singleKeyRange(key));
      if (found.ok && found.val.rows.length === 0) return Ok(false);
      const outcome = found.err ? found : await this.store.commit({
        checks: [{ ...key, version: found.val.rows[0].version }],
        puts: [{ ...cancelRow, value: "{}" }],
        removes: [],
      });
      if (outcome.ok && outcome.val.kind === "committed") return Ok(true);
      if (this.clock.now() >= req.deadline - answerReserveMs) {
        return fail(codes.recordUnknown, "the cancellation may be recorded");
      }
      await delay(this.clock, retryPauseMs);
    }
  }

  /**
   * Returns the number of accepted jobs of a queue that have not started.
   * Fails as `jobPhase` does.
   */
  async countWaiting(
    queue: Queue,
    deadline: number,
  ): Promise<Result<number, Failure>> {
    const counts = await this.#read(waitingCountsKey(queue.pool), deadline);
    return counts.map((value) =>
      value === undefined
        ? 0
        : parseJson(waitingCountsSchema, value)?.[queue.name] ?? 0
    );
  }

  async #read(
    key: Parameters<typeof singleKeyRange>[0],
    deadline: number,
  ): Promise<Result<string | undefined, Failure>> {
    for (;;) {
      const found = await this.store.range(singleKeyRange(key));
      if (found.ok) return Ok(found.val.rows[0]?.value);
      if (this.clock.now() >= deadline - answerReserveMs) {
        return toFailure(found.val, false);
      }
      await delay(this.clock, retryPauseMs);
    }
  }
}
