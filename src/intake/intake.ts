/**
 * Accepts jobs, and answers questions about them, at any entry.
 *
 * "Accepted" follows the store's confirmation; "not accepted" is said only
 * when the store has certainly not taken the job and never will. Everything
 * else is reported as unknown, and the same request may be sent again.
 */
import { Ok, type Result } from "ts-results";
import {
  cancelKey,
  countsKey,
  countsSchema,
  decodePhase,
  inboxKey,
  type JobPhase,
  type JobSpec,
  onlyKey,
  progressKey,
} from "../batch/index.ts";
import type { Queue } from "../catalog/index.ts";
import { type Clock, delay } from "../clock/index.ts";
import { codes, fail, type Failure } from "../errors/index.ts";
import {
  parseJson,
  type Store,
  type StoreBreaker,
  type StoreFailure,
} from "../store/index.ts";

/** Pause before a refused call is tried again, in ms. */
const retryPauseMs = 40;

/** How long a refused submission is tried again, in ms. */
const refusedRetryWindowMs = 120;

/** Time kept back from the caller's deadline for the answer, in ms. */
const answerReserveMs = 150;

/** What a caller asked, and until when an answer is of use. */
export interface IntakeRequest {
  readonly queue: Queue;
  readonly job: string;
  /** Steady time in ms. */
  readonly deadline: number;
}

/** `maybeDone`: whether an earlier attempt may have been performed. */
function toFailure({ kind, message }: StoreFailure, mayBeApplied: boolean) {
  const refused = kind === "refused" && !mayBeApplied;
  return fail(refused ? codes.recordUnavailable : codes.recordUnknown, message);
}

/** The callers' requests, over the store. */
export class Intake {
  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    /** Tells when the store is known not to answer. */
    private readonly breaker: Pick<StoreBreaker, "isOpen">,
  ) {}

  /**
   * Stores a job. Fails with `recordUnavailable` when it is certain that it
   * was not stored, at once if the store is known not to answer; with
   * `recordUnknown` when it may have been.
   */
  async submit(
    req: IntakeRequest,
    spec: JobSpec,
  ): Promise<Result<"accepted", Failure>> {
    if (this.breaker.isOpen) {
      return fail(codes.recordUnavailable, "the store does not answer");
    }
    const key = inboxKey(req.queue.pool, spec.id);
    const tx = {
      checks: [{ ...key, version: 0 }],
      puts: [{ ...key, value: JSON.stringify(spec) }],
      removes: [],
    };
    const startedAt = this.clock.now();
    let mayBeApplied = false;
    for (;;) {
      const outcome = await this.store.commit(tx);
      // A row that is there already is the same job.
      if (outcome.ok) return Ok("accepted");
      mayBeApplied ||= outcome.val.kind === "unknown";
      const now = this.clock.now();
      const giveUpAt = mayBeApplied ? req.deadline - answerReserveMs : Math.min(
        req.deadline - answerReserveMs,
        startedAt + refusedRetryWindowMs,
      );
      if (now >= giveUpAt) return toFailure(outcome.val, mayBeApplied);
      await delay(this.clock, retryPauseMs);
    }
  }

  /** The phase of a job; undefined when no such job exists. */
  async ask(
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

  /** Cancels a job; false when no such job exists. */
  async cancel(req: IntakeRequest): Promise<Result<boolean, Failure>> {
    const key = inboxKey(req.queue.pool, req.job);
    const cancelRow = cancelKey(req.queue.pool, req.job);
    for (;;) {
      const found = await this.store.range(onlyKey(key));
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

  /** Number of accepted jobs of a queue that have not begun. */
  async waiting(
    queue: Queue,
    deadline: number,
  ): Promise<Result<number, Failure>> {
    const counts = await this.#read(countsKey(queue.pool), deadline);
    return counts.map((value) =>
      value === undefined
        ? 0
        : parseJson(countsSchema, value)?.[queue.name] ?? 0
    );
  }

  async #read(
    key: Parameters<typeof onlyKey>[0],
    deadline: number,
  ): Promise<Result<string | undefined, Failure>> {
    for (;;) {
      const found = await this.store.range(onlyKey(key));
      if (found.ok) return Ok(found.val.rows[0]?.value);
      if (this.clock.now() >= deadline - answerReserveMs) {
        return toFailure(found.val, false);
      }
      await delay(this.clock, retryPauseMs);
    }
  }
}
