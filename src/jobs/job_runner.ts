/**
 * Runs the jobs that this entry has claimed, from the committed claim to the
 * committed result.
 */
import type { Result } from "ts-results";
import { codes, type Failure } from "../errors/index.ts";
import { type Clock, delay, type IdSource } from "../clock/index.ts";
import { type EndpointClient, isStream } from "../endpoint/index.ts";
import type { HostMap } from "../hosts/index.ts";
import {
  type Answer,
  type Outcome,
  type Router,
  type Slot,
  toEndpointRequest,
} from "../pipeline/index.ts";
import type { Table } from "../table/index.ts";
import {
  failJob,
  finishJob,
  type Job,
  type JobResult,
  revertJobStart,
  startJob,
} from "./job.ts";
import type { JobStore, JobWrite, StoredJob } from "./job_store.ts";

/** Pause in ms before a failed step of a job is tried again. */
const retryPauseMs = 250;
/** Pause in ms between two queries of an endpoint about a run. */
const queryPauseMs = 500;
/**
 * Number of queries that fail or find no record of the run, after which its
 * outcome is unknown.
 */
const maxUnknownAnswers = 4;
/** Lowest status that counts as a failed run of a repeatable job. */
const serverError = 500;

/** Dependencies of `JobRunner`. */
export interface JobRunnerDependencies {
  readonly store: JobStore;
  readonly router: Pick<Router, "acquire">;
  readonly endpoints: EndpointClient;
  readonly ids: IdSource;
  readonly clock: Clock;
  /** Whether the start of an at-most-once run is committed before sending. */
  readonly commitStartBeforeSend: boolean;
  table(): Table;
  hosts(): HostMap;
}

/** Whether this entry continues with a job after an attempt. */
type AttemptResult =
  /** The job needs another attempt by this entry. */
  | { readonly kind: "go-on"; readonly job: StoredJob }
  /** This entry stops working on the job. */
  | { readonly kind: "leave"; readonly job: StoredJob | undefined };

/** Runs claimed jobs. */
export class JobRunner {
  /** Abort controller of each job in progress, by job id. */
  #running = new Map<string, AbortController>();
  /** Aborted when the runner stops. */
  #stopping = new AbortController();

  constructor(private readonly deps: JobRunnerDependencies) {}

  get #stopped(): boolean {
    return this.#stopping.signal.aborted;
  }

  /** Number of jobs that this entry is running. */
  get size(): number {
    return this.#running.size;
  }

  /** Whether this entry is running a job. */
  isRunning(id: string): boolean {
    return this.#running.has(id);
  }

  /**
   * Attempts a claimed job until it has ended, was parked, has an unknown
   * outcome, or belongs to another claimer, or until the runner stops. Returns
   * the job's last known row.
   */
  async run(claimed: StoredJob): Promise<StoredJob | undefined> {
    const { id } = claimed.value;
    if (this.#running.has(id)) return claimed;
    const abortController = new AbortController();
    this.#running.set(id, abortController);
    try {
      let next: AttemptResult = { kind: "go-on", job: claimed };
      while (next.kind === "go-on" && !this.#stopped) {
        next = await this.#runAttempt(next.job, abortController.signal);
      }
      return next.job;
    } finally {
      this.#running.delete(id);
    }
  }

  /** Aborts the attempt of a job that was cancelled. */
  abort(id: string): void {
    this.#running.get(id)?.abort();
  }

  /** Prevents further attempts; runs in flight finish. */
  stop(): void {
    this.#stopping.abort();
  }

  async #runAttempt(
    job: StoredJob,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const row = this.deps.table().class(job.value.class);
    if (row === undefined) return await this.#park(job, "the class is gone");
    const slot = await this.deps.router.acquire({
      class: row,
      avoid: [],
      signal: AbortSignal.any([signal, this.#stopping.signal]),
    });
    if (slot.err) {
      if (signal.aborted) return await this.#rereadJob(job);
      await delay(this.deps.clock, retryPauseMs);
      return { kind: "go-on", job };
    }
    return job.value.once && this.deps.commitStartBeforeSend
      ? await this.#runAtMostOnce(job, slot.val, signal)
      : await this.#runRepeatable(job, slot.val, signal);
  }

  /** Ends the work on a cancelled job and reads its current row. */
  async #rereadJob(job: StoredJob): Promise<AttemptResult> {
    const current = await this.deps.store.find(job.value.id);
    return { kind: "leave", job: current.ok ? current.val : job };
  }

  async #runRepeatable(
    job: StoredJob,
    slot: Slot,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const outcome = await this.#send(job.value, slot, undefined, signal);
    if (signal.aborted) return await this.#rereadJob(job);
    const didNotRun = outcome.kind === "failed" &&
      outcome.failure.code.run === "not-run";
    if (didNotRun) {
      await delay(this.deps.clock, retryPauseMs);
      return { kind: "go-on", job };
    }
    if (outcome.kind === "answer" && outcome.status < serverError) {
      return await this.#finish(job, outcome);
    }
    const note = outcome.kind === "failed"
      ? outcome.failure.message
      : `status ${outcome.status} from ${slot.host}`;
    if (outcome.kind === "answer") discardBody(outcome);
    await delay(this.deps.clock, retryPauseMs);
    return await this.#commitTransition(job, failJob(job.value, note));
  }

  async #runAtMostOnce(
    job: StoredJob,
    slot: Slot,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const attempt = this.deps.ids.next();
    const started = startJob(job.value, attempt, slot.host);
    const operation = this.deps.ids.next();
    const write = await this.deps.store.replace(job, started, operation);
    if (write.err) {
      slot.releaseUnused();
      return await this.#resolveStart(job, started, operation, write.val);
    }
    if (write.val.kind === "changed") {
      slot.releaseUnused();
      return { kind: "leave", job: write.val.job };
    }
    const outcome = await this.#send(job.value, slot, attempt, signal);
    if (outcome.kind === "answer") {
      return await this.#finish(write.val.job, outcome);
    }
    if (outcome.failure.code.run === "not-run") {
      return await this.#commitTransition(
        write.val.job,
        revertJobStart(started),
      );
    }
    return await this.#recoverResult(write.val.job);
  }

  /**
   * Handles a failed commit of a start. If the commit may have taken effect,
   * repeats it until its outcome is known and then reverts the start, because
   * its request was not sent.
   */
  async #resolveStart(
    job: StoredJob,
    started: Job,
    operation: string,
    cause: Failure,
  ): Promise<AttemptResult> {
    await delay(this.deps.clock, retryPauseMs);
    if (cause.code === codes.platformDown) return { kind: "go-on", job };
    const write = await this.#repeatWrite(
      (op) => this.deps.store.replace(job, started, op),
      operation,
    );
    if (write === undefined) return { kind: "leave", job };
    if (write.kind === "changed") return { kind: "leave", job: write.job };
    return await this.#commitTransition(write.job, revertJobStart(started));
  }

  /** Gets the result of a run from its endpoint after its answer was lost. */
  async #recoverResult(job: StoredJob): Promise<AttemptResult> {
    const result = await this.queryResult(job.value);
    if (result !== undefined) {
      return await this.#commitTransition(job, finishJob(job.value, result));
    }
    const note = "the endpoint has no trace of the run";
    return await this.#commitTransition(job, {
      ...job.value,
      state: "unknown",
      note,
    });
  }

  /**
   * Queries the endpoint of a started job for the result, and waits while the
   * run is in progress. Undefined when the host is unknown, when the runner
   * stops, or after `maxUnknownAnswers` queries that failed or found no record
   * of the run.
   */
  async queryResult(job: Job): Promise<JobResult | undefined> {
    const { endpoints, clock, store } = this.deps;
    const key = job.key ?? job.id;
    for (let unknownAnswers = 0; unknownAnswers < maxUnknownAnswers;) {
      const host = this.deps.hosts().get(job.host ?? "");
      if (host === undefined) return undefined;
      const run = await endpoints.queryRun(host, { class: job.class, key });
      if (run.ok && run.val.state === "done") {
        const body = { kind: "inline", base64: run.val.body ?? "" } as const;
        const bytes = await store.loadBody(body);
        const saved = bytes.ok
          ? await store.saveBody(`${job.id}.result`, bytes.val)
          : bytes;
        if (saved.ok) {
          return {
            status: run.val.status ?? 200,
            contentType: run.val.contentType ?? "application/octet-stream",
            body: saved.val,
          };
        }
      } else if (run.err || run.val.state === "unknown") {
        unknownAnswers++;
      }
      if (this.#stopped) return undefined;
      await delay(clock, queryPauseMs);
    }
    return undefined;
  }

  async #send(
    job: Job,
    slot: Slot,
    attempt: string | undefined,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const row = this.deps.table().class(job.class);
    const body = await this.#loadBody(job);
    if (row === undefined || body === undefined) {
      slot.releaseUnused();
      const code = codes.recordUnavailable;
      const message = "the job's class or body is missing";
      return { kind: "failed", failure: { code, message } };
    }
    const req = toEndpointRequest({
      id: job.id,
      class: row,
      tableVersion: this.deps.table().version,
      method: job.method,
      path: job.path,
      headers: job.headers,
      body,
      key: job.key ?? job.id,
    }, attempt ?? this.deps.ids.next());
    return await slot.send(req, signal);
  }

  async #loadBody(job: Job): Promise<Uint8Array | undefined> {
    const body = await this.deps.store.loadBody(job.body);
    return body.ok ? body.val : undefined;
  }

  async #finish(job: StoredJob, answer: Answer): Promise<AttemptResult> {
    const bytes = await readBody(answer);
    if (bytes === undefined) {
      if (job.value.once) return await this.#recoverResult(job);
      return await this.#commitTransition(
        job,
        failJob(job.value, "truncated answer"),
      );
    }
    let saved = await this.#saveResult(job.value.id, bytes);
    while (saved.err && !this.#stopped) {
      await delay(this.deps.clock, retryPauseMs);
      saved = await this.#saveResult(job.value.id, bytes);
    }
    if (saved.err) return { kind: "leave", job };
    const result = {
      status: answer.status,
      contentType: answer.headers["content-type"] ?? "application/octet-stream",
      body: saved.val,
    };
    return await this.#commitTransition(job, finishJob(job.value, result));
  }

  #saveResult(id: string, bytes: Uint8Array) {
    return this.deps.store.saveBody(`${id}.result`, bytes);
  }

  async #park(job: StoredJob, note: string): Promise<AttemptResult> {
    return await this.#commitTransition(job, {
      ...job.value,
      state: "parked",
      note,
    });
  }

  /** Commits a transition; repeats it while the platform is unavailable. */
  async #commitTransition(job: StoredJob, to: Job): Promise<AttemptResult> {
    const write = await this.#repeatWrite(
      (op) => this.deps.store.replace(job, to, op),
      this.deps.ids.next(),
    );
    if (write === undefined) return { kind: "leave", job };
    if (write.kind === "changed") return { kind: "leave", job: write.job };
    const continues = to.state === "claimed";
    return { kind: continues ? "go-on" : "leave", job: write.job };
  }

  /**
   * Repeats a write with one operation id until its outcome is known.
   * Undefined when the runner stops first.
   */
  async #repeatWrite(
    write: (operation: string) => Promise<Result<JobWrite, Failure>>,
    operation: string,
  ): Promise<JobWrite | undefined> {
    for (;;) {
      const outcome = await write(operation);
      if (outcome.ok) return outcome.val;
      if (this.#stopped) return undefined;
      await delay(this.deps.clock, retryPauseMs);
    }
  }
}

/** Reads the body of an answer; undefined when it was truncated. */
async function readBody(answer: Answer): Promise<Uint8Array | undefined> {
  if (!isStream(answer.body)) return answer.body;
  const chunks: Uint8Array[] = [];
  try {
    for await (const chunk of answer.body) chunks.push(chunk as Uint8Array);
  } catch {
    return undefined;
  }
  return concatChunks(chunks);
}

function concatChunks(chunks: readonly Uint8Array[]): Uint8Array {
  const joined = new Uint8Array(
    chunks.reduce((total, chunk) => total + chunk.length, 0),
  );
  let offset = 0;
  for (const chunk of chunks) {
    joined.set(chunk, offset);
    offset += chunk.length;
  }
  return joined;
}

/** Closes a streamed body that is not read. */
function discardBody(answer: Answer): void {
  if (isStream(answer.body)) answer.body.destroy();
}
