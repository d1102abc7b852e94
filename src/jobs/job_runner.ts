/**
 * Running the jobs that this entry has claimed, from the committed record to
 * the committed result.
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
  startJob,
  unstartJob,
} from "./job.ts";
import type { JobStore, JobWrite, StoredJob } from "./job_store.ts";

const retryPauseMs = 250;
const recoverPauseMs = 500;
/** Questions without a trace of the run before it counts as unknown. */
const maxTracelessAnswers = 4;
const serverError = 500;

/** What the runner needs of the entry. */
export interface JobRunnerParts {
  readonly store: JobStore;
  readonly router: Pick<Router, "acquire">;
  readonly endpoints: EndpointClient;
  readonly ids: IdSource;
  readonly clock: Clock;
  /** Whether an at-most-once run commits its start before it is sent. */
  readonly startBeforeSend: boolean;
  table(): Table;
  hosts(): HostMap;
}

/** Ends the work of this entry on a job. */
type Step =
  | { readonly kind: "go-on"; readonly job: StoredJob }
  | { readonly kind: "leave"; readonly job: StoredJob | undefined };

/** Runs claimed jobs. */
export class JobRunner {
  #running = new Map<string, AbortController>();
  #stopping = new AbortController();

  constructor(private readonly parts: JobRunnerParts) {}

  get #stopped(): boolean {
    return this.#stopping.signal.aborted;
  }

  /** Number of jobs that this entry works on. */
  get size(): number {
    return this.#running.size;
  }

  /** Whether this entry works on a job. */
  isRunning(id: string): boolean {
    return this.#running.has(id);
  }

  /**
   * Works on a claimed job until it has ended, was parked, or belongs to
   * another claimer. Returns its last known row.
   */
  async run(claimed: StoredJob): Promise<StoredJob | undefined> {
    const { id } = claimed.value;
    if (this.#running.has(id)) return claimed;
    const abort = new AbortController();
    this.#running.set(id, abort);
    try {
      let step: Step = { kind: "go-on", job: claimed };
      while (step.kind === "go-on" && !this.#stopped) {
        step = await this.#attempt(step.job, abort.signal);
      }
      return step.job;
    } finally {
      this.#running.delete(id);
    }
  }

  /** Stops waiting for a slot on behalf of a job that was cancelled. */
  abort(id: string): void {
    this.#running.get(id)?.abort();
  }

  /** Lets no further attempt begin; runs in flight finish. */
  stop(): void {
    this.#stopping.abort();
  }

  async #attempt(job: StoredJob, signal: AbortSignal): Promise<Step> {
    const row = this.parts.table().class(job.value.class);
    if (row === undefined) return await this.#park(job, "the class is gone");
    const slot = await this.parts.router.acquire({
      class: row,
      avoid: [],
      signal: AbortSignal.any([signal, this.#stopping.signal]),
    });
    if (slot.err) {
      if (signal.aborted) return await this.#reread(job);
      await delay(this.parts.clock, retryPauseMs);
      return { kind: "go-on", job };
    }
    return job.value.once && this.parts.startBeforeSend
      ? await this.#runOnce(job, slot.val, signal)
      : await this.#runRepeatable(job, slot.val, signal);
  }

  async #reread(job: StoredJob): Promise<Step> {
    const current = await this.parts.store.find(job.value.id);
    return { kind: "leave", job: current.ok ? current.val : job };
  }

  async #runRepeatable(
    job: StoredJob,
    slot: Slot,
    signal: AbortSignal,
  ): Promise<Step> {
    const outcome = await this.#send(job.value, slot, undefined, signal);
    if (signal.aborted) return await this.#reread(job);
    const notRun = outcome.kind === "failed" &&
      outcome.failure.code.run === "not-run";
    if (notRun) {
      await delay(this.parts.clock, retryPauseMs);
      return { kind: "go-on", job };
    }
    if (outcome.kind === "answer" && outcome.status < serverError) {
      return await this.#finish(job, outcome);
    }
    const note = outcome.kind === "failed"
      ? outcome.failure.message
      : `status ${outcome.status} from ${slot.host}`;
    if (outcome.kind === "answer") discard(outcome);
    await delay(this.parts.clock, retryPauseMs);
    return await this.#put(job, failJob(job.value, note));
  }

  async #runOnce(
    job: StoredJob,
    slot: Slot,
    signal: AbortSignal,
  ): Promise<Step> {
    const attempt = this.parts.ids.next();
    const started = startJob(job.value, attempt, slot.host);
    const operation = this.parts.ids.next();
    const write = await this.parts.store.replace(job, started, operation);
    if (write.err) {
      slot.giveBack();
      return await this.#resolveStart(job, started, operation, write.val);
    }
    if (write.val.kind === "changed") {
      slot.giveBack();
      return { kind: "leave", job: write.val.job };
    }
    const outcome = await this.#send(job.value, slot, attempt, signal);
    if (outcome.kind === "answer") {
      return await this.#finish(write.val.job, outcome);
    }
    if (outcome.failure.code.run === "not-run") {
      return await this.#put(write.val.job, unstartJob(started));
    }
    return await this.#recover(write.val.job);
  }

  /**
   * Learns whether a start was committed whose answer was lost. Nothing was
   * sent, so a committed start is taken back.
   */
  async #resolveStart(
    job: StoredJob,
    started: Job,
    operation: string,
    cause: Failure,
  ): Promise<Step> {
    await delay(this.parts.clock, retryPauseMs);
    if (cause.code === codes.platformDown) return { kind: "go-on", job };
    const write = await this.#persist(
      (op) => this.parts.store.replace(job, started, op),
      operation,
    );
    if (write === undefined) return { kind: "leave", job };
    if (write.kind === "changed") return { kind: "leave", job: write.job };
    return await this.#put(write.job, unstartJob(started));
  }

  /** Asks the endpoint what became of a run that has no answer. */
  async #recover(job: StoredJob): Promise<Step> {
    const result = await this.askEndpoint(job.value);
    if (result !== undefined) {
      return await this.#put(job, finishJob(job.value, result));
    }
    const note = "the endpoint has no trace of the run";
    return await this.#put(job, { ...job.value, state: "unknown", note });
  }

  /**
   * Asks the host of a started job for the run's result, waiting while it
   * runs. Undefined when the endpoint cannot tell.
   */
  async askEndpoint(job: Job): Promise<JobResult | undefined> {
    const { endpoints, clock, store } = this.parts;
    const key = job.key ?? job.id;
    for (let traceless = 0; traceless < maxTracelessAnswers;) {
      const host = this.parts.hosts().get(job.host ?? "");
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
        traceless++;
      }
      if (this.#stopped) return undefined;
      await delay(clock, recoverPauseMs);
    }
    return undefined;
  }

  async #send(
    job: Job,
    slot: Slot,
    attempt: string | undefined,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const row = this.parts.table().class(job.class);
    const body = await this.#loadBody(job);
    if (row === undefined || body === undefined) {
      slot.giveBack();
      const code = codes.recordUnavailable;
      const message = "the job's class or body is missing";
      return { kind: "failed", failure: { code, message } };
    }
    const req = toEndpointRequest({
      id: job.id,
      class: row,
      tableVersion: this.parts.table().version,
      method: job.method,
      path: job.path,
      headers: job.headers,
      body,
      key: job.key ?? job.id,
    }, attempt ?? this.parts.ids.next());
    return await slot.send(req, signal);
  }

  async #loadBody(job: Job): Promise<Uint8Array | undefined> {
    const body = await this.parts.store.loadBody(job.body);
    return body.ok ? body.val : undefined;
  }

  async #finish(job: StoredJob, answer: Answer): Promise<Step> {
    const bytes = await readWhole(answer);
    if (bytes === undefined) {
      if (job.value.once) return await this.#recover(job);
      return await this.#put(job, failJob(job.value, "truncated answer"));
    }
    let saved = await this.#saveResult(job.value.id, bytes);
    while (saved.err && !this.#stopped) {
      await delay(this.parts.clock, retryPauseMs);
      saved = await this.#saveResult(job.value.id, bytes);
    }
    if (saved.err) return { kind: "leave", job };
    const result = {
      status: answer.status,
      contentType: answer.headers["content-type"] ?? "application/octet-stream",
      body: saved.val,
    };
    return await this.#put(job, finishJob(job.value, result));
  }

  #saveResult(id: string, bytes: Uint8Array) {
    return this.parts.store.saveBody(`${id}.result`, bytes);
  }

  async #park(job: StoredJob, note: string): Promise<Step> {
    return await this.#put(job, { ...job.value, state: "parked", note });
  }

  /** Commits a transition, however long the platform is away. */
  async #put(job: StoredJob, to: Job): Promise<Step> {
    const write = await this.#persist(
      (op) => this.parts.store.replace(job, to, op),
      this.parts.ids.next(),
    );
    if (write === undefined) return { kind: "leave", job };
    if (write.kind === "changed") return { kind: "leave", job: write.job };
    const goesOn = to.state === "claimed";
    return { kind: goesOn ? "go-on" : "leave", job: write.job };
  }

  /** Repeats a write with one operation id until its outcome is known. */
  async #persist(
    write: (operation: string) => Promise<Result<JobWrite, Failure>>,
    operation: string,
  ): Promise<JobWrite | undefined> {
    for (;;) {
      const outcome = await write(operation);
      if (outcome.ok) return outcome.val;
      if (this.#stopped) return undefined;
      await delay(this.parts.clock, retryPauseMs);
    }
  }
}

/** Reads an answer's whole body; undefined when it was cut short. */
async function readWhole(answer: Answer): Promise<Uint8Array | undefined> {
  if (!isStream(answer.body)) return answer.body;
  const pieces: Uint8Array[] = [];
  try {
    for await (const piece of answer.body) pieces.push(piece as Uint8Array);
  } catch {
    return undefined;
  }
  return concat(pieces);
}

function concat(pieces: readonly Uint8Array[]): Uint8Array {
  const whole = new Uint8Array(pieces.reduce((n, p) => n + p.length, 0));
  let at = 0;
  for (const piece of pieces) {
    whole.set(piece, at);
    at += piece.length;
  }
  return whole;
}

function discard(answer: Answer): void {
  if (isStream(answer.body)) answer.body.destroy();
}
