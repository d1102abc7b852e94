/**
 * Accepts, reports and cancels jobs. Any entry can serve these requests.
 *
 * A job is reported as accepted after the store has confirmed the commit, and
 * as not accepted only when it is certain that the store has not stored it and
 * will not do so later. Any other outcome is reported as unknown; the caller
 * may then send the same request again.
 */
import { Buffer } from "node:buffer";
import { Err, Ok, type Result } from "ts-results";
import {
  cancelKey,
  decodePhase,
  forwardedTo,
  inboxKey,
  type JobPhase,
  type JobSpec,
  progressKey,
  singleKeyRange,
} from "../batch/index.ts";
import type { Queue } from "../catalog/index.ts";
import { type Clock, delay } from "../clock/index.ts";
import { codes, fail, type Failure } from "../errors/index.ts";
import {
  maxRowBytes,
  type Store,
  type StoreBreaker,
  type StoreFailure,
  type StoreRow,
  type StoreRowKey,
} from "../store/index.ts";
import { type Admission, admitAll } from "./admission.ts";
import { queueId, QueuePools } from "./queue_pools.ts";
import { RecentSubmissions } from "./recent_submissions.ts";
import { minRetryAfterS, retryAfterSilence } from "./retry_after.ts";
import { Submission } from "./submission.ts";
import { WaitingJobs } from "./waiting_jobs.ts";

/** Pause before a failed store call is retried, in ms. */
const retryPauseMs = 40;

/** Time during which a submission that the store refuses is retried, in ms. */
const refusedRetryMs = 120;

/** Most forwards that are followed from a queue's home to a job. */
const maxForwards = 8;

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
function toFailure(
  { kind, message }: StoreFailure,
  mayBeApplied: boolean,
  retryAfterS = minRetryAfterS,
) {
  const refused = kind === "refused" && !mayBeApplied;
  return refused
    ? fail(codes.recordUnavailable, message, { retryAfterS })
    : fail(codes.recordUnknown, message);
}

/** Failure of a submission while the store is known not to answer. */
const storeSilent: StoreFailure = {
  kind: "refused",
  message: "the store does not answer",
};

/** Where a job is stored, or would be. */
interface JobLocation {
  /** Pool whose inbox holds the job. */
  readonly pool: string;
  /** Version of its row there; 0 if there is none. */
  readonly version: number;
}

/** Serves the callers' requests about jobs from the store. */
export class Intake {
  readonly #recent: RecentSubmissions;
  readonly #pools: QueuePools;
  readonly #waiting: WaitingJobs;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    /** Open while the store is known not to answer. */
    private readonly breaker: Pick<StoreBreaker, "isOpen" | "silentMs">,
    private readonly admission: Admission = admitAll,
  ) {
    this.#recent = new RecentSubmissions(clock);
    this.#pools = new QueuePools(store);
    this.#waiting = new WaitingJobs(store, clock);
  }

  /** Reads ahead what the first requests of these queues need. */
  prepare(queues: readonly Queue[]): Promise<void> {
    return this.#pools.prepare(queues);
  }

  /** Adds the store's version in the answer to a call sent at `sentAt` (ms). */
  addStoreVersion(version: number, sentAt: number): void {
    this.#waiting.addStoreVersion(version, sentAt);
  }

  /**
   * Stores a job. Fails with `recordUnavailable` when it is certain that the job
   * was not stored, without a call if the store is known not to answer. Fails
   * with `queueFull` when no room is left for a job that isn't stored, and with `recordUnknown` when the job may have been stored, also by another
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
    const identity = `${queueId(req.queue)}\n${spec.id}`;
    this.#recent.begin(identity);
    try {
      const refused = await this.#refuseNew(req, spec, identity);
      return refused ?? await this.#store(req, value, identity);
    } finally {
      this.#recent.end(identity);
    }
  }

  /**
   * Fails if the job is not to be taken in; undefined if it is, or if it is
   * stored or may be.
   */
  async #refuseNew(
    req: IntakeRequest,
    spec: JobSpec,
    identity: string,
  ): Promise<Result<never, Failure> | undefined> {
    const refusal = this.admission.check(req.queue, spec);
    if (refusal === undefined || this.breaker.isOpen) return undefined;
    const isNew = () => this.#recent.known(identity) === "none";
    if (!isNew()) return undefined;
    // Another entry may have stored the job for the same caller.
    const deadline = this.clock.now() + answerReserveMs + refusedRetryMs;
    const found = await this.#find({ ...req, deadline });
    if (found.err || found.val.version !== 0 || !isNew()) return undefined;
    this.admission.recordRefused(spec, refusal);
    return Err(refusal);
  }

  /**
   * Stores a job's row with this value; `identity` tells the job from others
   * among the recent submissions.
   */
  async #store(
    { queue, job, deadline }: IntakeRequest,
    value: string,
    identity: string,
  ): Promise<Result<"accepted", Failure>> {
    const recent = this.#recent;
    if (recent.known(identity) === "stored") return Ok("accepted");
    if (this.breaker.isOpen) {
      const mayBeStored = recent.known(identity) === "unknown";
      const retryAfterS = retryAfterSilence(this.breaker.silentMs);
      return toFailure(storeSilent, mayBeStored, retryAfterS);
    }
    const deps = { store: this.store, pools: this.#pools };
    const submission = new Submission(deps, queue, job, value);
    const startedAt = this.clock.now();
    for (;;) {
      const outcome = await submission.attempt();
      if (outcome.ok) recent.recordStored(identity);
      else if (outcome.val.kind !== "refused") recent.recordUnknown(identity);
      const known = recent.known(identity);
      if (outcome.ok || known === "stored") return Ok("accepted");
      const mayBeStored = known === "unknown";
      const now = this.clock.now();
      const giveUpAt = mayBeStored
        ? deadline - answerReserveMs
        : Math.min(deadline - answerReserveMs, startedAt + refusedRetryMs);
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
    const phase = await this.#storedPhase(pool, req);
    if (phase.err || phase.val !== undefined) return phase;
    const found = await this.#find(req);
    if (found.err) return found;
    if (found.val.version === 0) return Ok(undefined);
    if (found.val.pool === pool) return Ok("queued");
    const elsewhere = await this.#storedPhase(found.val.pool, req);
    return elsewhere.map((each) => each ?? "queued");
  }

  /**
   * Records the cancellation of a job; false when no such job exists. The record
   * also cancels a job whose submission is stored later. Fails with
   * `recordUnknown` when no attempt is confirmed before the deadline.
   */
  async cancel(req: IntakeRequest): Promise<Result<boolean, Failure>> {
    const unknown = fail(
      codes.recordUnknown,
      "the cancellation may be recorded",
    );
    for (;;) {
      const found = await this.#find(req);
      if (found.err) return unknown;
      const { pool, version } = found.val;
      const outcome = await this.store.commit({
        checks: [{ ...inboxKey(pool, req.job), version }],
        puts: [{ ...cancelKey(pool, req.job), value: "{}" }],
        removes: [],
      });
      if (outcome.ok && outcome.val.kind === "committed") {
        return Ok(version !== 0);
      }
      if (this.clock.now() >= req.deadline - answerReserveMs) return unknown;
      await delay(this.clock, retryPauseMs);
    }
  }

  /**
   * Returns the number of accepted jobs of a queue that have not started.
   * Fails as `jobPhase` does, and with `recordUnavailable` while nobody publishes
   * the number and there are too many rows to count.
   */
  async countWaiting(
    queue: Queue,
    deadline: number,
  ): Promise<Result<number, Failure>> {
    const pools = await this.#untilRead(
      () => this.#pools.list(queue),
      deadline,
    );
    if (pools.err) return pools;
    let waiting = 0;
    for (const pool of pools.val) {
      const count = await this.#untilRead(
        () => this.#waiting.count(pool, queue.name),
        deadline,
      );
      if (count.err) return count;
      if (count.val === undefined) {
        return fail(codes.recordUnavailable, "too many rows to count");
      }
      waiting += count.val;
    }
    return Ok(waiting);
  }

  /** The phase in a pool's progress row of a job; undefined without one. */
  async #storedPhase(
    pool: string,
    { job, deadline }: IntakeRequest,
  ): Promise<Result<JobPhase | undefined, Failure>> {
    const progress = await this.#read(progressKey(pool, job), deadline);
    return progress.map((row) => decodePhase(row?.value ?? ""));
  }

  /** Finds where a job is stored, from its queue's home on. */
  async #find(req: IntakeRequest): Promise<Result<JobLocation, Failure>> {
    const { queue, job, deadline } = req;
    const home = await this.#untilRead(
      () => this.#pools.home(queue),
      deadline,
    );
    if (home.err) return home;
    let pool = home.val;
    for (let forwards = 0; forwards < maxForwards; forwards++) {
      const row = await this.#read(inboxKey(pool, job), deadline);
      if (row.err) return row;
      const next = forwardedTo(row.val?.value ?? "");
      if (next === undefined) {
        return Ok({ pool, version: row.val?.version ?? 0 });
      }
      pool = next;
    }
    return fail(codes.recordUnknown, "the job is forwarded too often");
  }

  /** Reads a row until the deadline; undefined if there is none. */
  async #read(
    key: StoreRowKey,
    deadline: number,
  ): Promise<Result<StoreRow | undefined, Failure>> {
    const query = singleKeyRange(key);
    const read = await this.#untilRead(() => this.store.range(query), deadline);
    return read.map(({ rows }): StoreRow | undefined => rows[0]);
  }

  /** Repeats a read until it succeeds or the deadline is near. */
  async #untilRead<T>(
    read: () => Promise<Result<T, StoreFailure>>,
    deadline: number,
  ): Promise<Result<T, Failure>> {
    for (;;) {
      const outcome = await read();
      if (outcome.ok) return outcome;
      if (this.clock.now() >= deadline - answerReserveMs) {
        return toFailure(outcome.val, false);
      }
      await delay(this.clock, retryPauseMs);
    }
  }
}
