/**
 * Operations on jobs for callers and operators: submission, waiting,
 * cancellation, settlement, and resumption.
 */
import { Ok, type Result } from "ts-results";
import { auditWrite } from "../audit/index.ts";
import { codes, fail, type Failure } from "../errors/index.ts";
import { type Clock, delay, type IdSource } from "../clock/index.ts";
import type { CallerRequest } from "../pipeline/index.ts";
import type { ChangeContext } from "../table/index.ts";
import {
  type Claimer,
  claimJob,
  digestRequest,
  isEnded,
  type Job,
  type JobState,
  keyedJobId,
} from "./job.ts";
import type { JobRunner } from "./job_runner.ts";
import type { JobStore, JobWrite, StoredJob } from "./job_store.ts";

/** Interval in ms between two reads of a job, or two tries of a claim. */
const pollIntervalMs = 250;

/** Dependencies of `JobService`. */
export interface JobServiceDependencies {
  readonly store: JobStore;
  readonly runner: JobRunner;
  /** This entry and its incarnation. */
  readonly claimer: Claimer;
  readonly ids: IdSource;
  readonly clock: Clock;
}

/** How an operator settles a job whose outcome is unknown. */
export type Settlement = "done" | "not-run";

/** Accepts, finds, cancels, settles, and resumes jobs. */
export class JobService {
  /** Runs in progress on this entry, by job id. */
  #activeRuns = new Map<string, Promise<StoredJob | undefined>>();

  constructor(private readonly deps: JobServiceDependencies) {}

  /**
   * Records a job and starts to run it. A request with a key that is already
   * recorded yields the recorded job. Fails with `keyReused` (the key belongs
   * to a different request), `recordUnavailable` (nothing is recorded), or
   * `recordUnknown` (the job may be recorded, and runs if it is).
   */
  async submit(req: CallerRequest): Promise<Result<StoredJob, Failure>> {
    const id = req.key === undefined
      ? this.deps.ids.next()
      : keyedJobId(req.class.name, req.key);
    const body = await this.deps.store.saveBody(`${id}.request`, req.body);
    if (body.err) return fail(codes.recordUnavailable, body.val.message);
    const job: Job = {
      id,
      class: req.class.name,
      once: req.class.repeat === "once",
      key: req.key,
      digest: digestRequest(req.method, req.path, req.body),
      method: req.method,
      path: req.path,
      headers: { ...req.headers },
      body: body.val,
      state: "claimed",
      claimer: this.deps.claimer,
      failures: 0,
      createdAt: this.deps.clock.wall(),
    };
    const operation = this.deps.ids.next();
    const write = await this.deps.store.create(job, operation);
    if (write.ok) return this.#handleCreated(job, write.val);
    if (write.val.code === codes.commitUnknown) {
      this.#claimAndRun(() => this.deps.store.create(job, operation));
      return fail(codes.recordUnknown, write.val.message);
    }
    return fail(codes.recordUnavailable, write.val.message);
  }

  /** Claims an open job of an entry that is gone, and runs it. */
  async takeOver(job: StoredJob): Promise<void> {
    const operation = this.deps.ids.next();
    const claimed = claimJob(job.value, this.deps.claimer);
    await this.#claimAndRun(() =>
      this.deps.store.replace(job, claimed, operation)
    );
  }

  /** Whether this entry is running a job. */
  isRunning(id: string): boolean {
    return this.#activeRuns.has(id);
  }

  #handleCreated(job: Job, write: JobWrite): Result<StoredJob, Failure> {
    if (write.kind === "written") {
      this.#startRun(write.job);
      return Ok(write.job);
    }
    const existing = write.job;
    if (existing === undefined) {
      return fail(
        codes.recordUnavailable,
        `job ${job.id} is being changed by another writer`,
      );
    }
    if (existing.value.digest !== job.digest) {
      return fail(codes.keyReused, codes.keyReused.meaning);
    }
    return Ok(existing);
  }

  #startRun(job: StoredJob): void {
    const { id } = job.value;
    const run = this.deps.runner.run(job);
    this.#activeRuns.set(id, run);
    run.finally(() => this.#activeRuns.delete(id));
  }

  /**
   * Repeats a claim under its operation id until its outcome is known, and
   * runs the job if the claim was committed, since no other entry would run it.
   */
  async #claimAndRun(
    claim: () => Promise<Result<JobWrite, Failure>>,
  ): Promise<void> {
    for (;;) {
      const write = await claim();
      if (write.ok) {
        if (write.val.kind === "written") this.#startRun(write.val.job);
        return;
      }
      await delay(this.deps.clock, pollIntervalMs);
    }
  }

  /** Finds a job. Fails with `notFound` or as the table service does. */
  async find(id: string): Promise<Result<StoredJob, Failure>> {
    const found = await this.deps.store.find(id);
    if (found.err) return found;
    if (found.val === undefined) {
      return fail(codes.notFound, `job ${id} does not exist`);
    }
    return Ok(found.val);
  }

  /**
   * Waits until only an operator can still change a job, or until the time in
   * ms is over or the signal aborts. Returns the job as it is then. Fails with
   * `notFound`, or with the last failure to read the job.
   */
  async wait(
    id: string,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoredJob, Failure>> {
    const deadline = this.deps.clock.now() + timeoutMs;
    const activeRun = this.#activeRuns.get(id);
    if (activeRun !== undefined) {
      const waitMs = Math.min(timeoutMs, maxTimerMs);
      const ended = await Promise.race([
        activeRun,
        delay(this.deps.clock, waitMs).then(() => undefined),
        whenAborted(signal),
      ]);
      if (ended !== undefined && isWaitOver(ended.value)) return Ok(ended);
    }
    for (;;) {
      const found = await this.find(id);
      if (found.ok && isWaitOver(found.val.value)) return found;
      if (found.err && found.val.code === codes.notFound) return found;
      const timedOut = this.deps.clock.now() >= deadline;
      if (timedOut || signal.aborted) return found;
      await delay(this.deps.clock, pollIntervalMs);
    }
  }

  /**
   * Cancels a claimed or parked job. Fails with `notFound`, `stateConflict`, or
   * as the table service does.
   */
  async cancel(
    id: string,
    ctx: ChangeContext,
  ): Promise<Result<StoredJob, Failure>> {
    const allowed: readonly JobState[] = ["claimed", "parked"];
    const cancelled = await this.#transition(
      id,
      allowed,
      ctx,
      "job.cancel",
      (job) => ({
        ...job,
        state: "cancelled",
      }),
    );
    if (cancelled.ok) this.deps.runner.abort(id);
    return cancelled;
  }

  /**
   * Settles a job whose outcome is unknown. Fails with `notFound`,
   * `stateConflict`, or as the table service does.
   */
  async settle(
    id: string,
    as: Settlement,
    ctx: ChangeContext,
  ): Promise<Result<StoredJob, Failure>> {
    const state = as === "done" ? "done" : "cancelled";
    return await this.#transition(
      id,
      ["unknown"],
      ctx,
      "job.settle",
      (job) => ({
        ...job,
        state,
        note: `settled as ${as} by ${ctx.who}`,
      }),
    );
  }

  /**
   * Resumes a parked job on this entry. Fails with `notFound`, `stateConflict`,
   * or as the table service does.
   */
  async resume(
    id: string,
    ctx: ChangeContext,
  ): Promise<Result<StoredJob, Failure>> {
    const resumed = await this.#transition(
      id,
      ["parked"],
      ctx,
      "job.resume",
      (job) => ({ ...claimJob(job, this.deps.claimer), failures: 0 }),
    );
    if (resumed.ok) this.#startRun(resumed.val);
    else if (resumed.val.code === codes.commitUnknown) {
      this.#runIfClaimed(id);
    }
    return resumed;
  }

  /** Runs a resumed job if its claim, whose answer was lost, was committed. */
  async #runIfClaimed(id: string): Promise<void> {
    const found = await this.find(id);
    if (found.err) {
      await delay(this.deps.clock, pollIntervalMs);
      return await this.#runIfClaimed(id);
    }
    const { state, claimer } = found.val.value;
    const isOwn = claimer.incarnation === this.deps.claimer.incarnation;
    if (state === "claimed" && isOwn) this.#startRun(found.val);
  }

  /** Lists all jobs, including ended ones. */
  async list(): Promise<Result<readonly StoredJob[], Failure>> {
    return await this.deps.store.listAll();
  }

  /** Commits a state change of a job together with its audit record. */
  async #transition(
    id: string,
    allowed: readonly JobState[],
    ctx: ChangeContext,
    action: string,
    change: (job: Job) => Job,
  ): Promise<Result<StoredJob, Failure>> {
    const found = await this.find(id);
    if (found.err) return found;
    const { value } = found.val;
    if (!allowed.includes(value.state)) {
      return fail(codes.stateConflict, `job ${id} is ${value.state}`);
    }
    const next = change(value);
    const record = auditWrite({
      at: ctx.at,
      who: ctx.who,
      action,
      subject: `job ${id}`,
      before: value.state,
      after: next.state,
      operation: ctx.operation,
    });
    const write = await this.deps.store.replace(
      found.val,
      next,
      ctx.operation,
      [record],
    );
    if (write.err) return write;
    if (write.val.kind === "changed") {
      return fail(
        codes.stateConflict,
        `job ${id} was changed by another writer`,
      );
    }
    return Ok(write.val.job);
  }
}

/** Longest timer in ms; `setTimeout` allows at most 2 ** 31 - 1. */
const maxTimerMs = 2_000_000_000;

/** Whether a job has ended, or changes only when an operator acts. */
function isWaitOver(job: Job): boolean {
  return isEnded(job) || job.state === "parked" || job.state === "unknown";
}

/** Resolves when a signal aborts. */
function whenAborted(signal: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve(undefined);
    else signal.addEventListener("abort", () => resolve(undefined));
  });
}
