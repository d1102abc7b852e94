/** Callers: they send jobs, ask for their states, and send again. */
import { Agent, request } from "undici";
import * as v from "valibot";
import { deadlineMs, maxCallAttempts } from "./bounds.ts";
import type { PlannedJob, PlayPlan } from "./draw.ts";
import type { EntryProcess } from "./entry_process.ts";
import { pause, type PlayClock } from "./pause.ts";
import type { PlayRecord, SeenAnswer, SeenJob } from "./play_record.ts";
import { authority, pathPrefix } from "./site.ts";

/** Interval between two questions for the state of a job, in ms. */
const askIntervalMs = 2_000;

/** Interval between two readiness checks of the platform, in ms. */
const readyIntervalMs = 1_000;

/** Misses after which an entry gets no new calls. */
const maxMisses = 2;

/** Pause before a call is sent again, in ms. */
const retryPauseMs = 200;

/** States that do not change any more. */
const finalStates: ReadonlySet<string> = new Set([
  "completed",
  "failed",
  "cancelled",
]);

const stateSchema = v.object({ state: v.string() });

/** A request of a caller. */
interface CallerRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: string;
}

/** An answer; the status is undefined if there was none in time. */
interface CallerAnswer {
  readonly status: number | undefined;
  readonly text: string;
  readonly entry: string;
}

/** What the callers use of the play. */
export interface CallersDependencies {
  readonly clock: PlayClock;
  readonly record: PlayRecord;
  readonly entries: readonly EntryProcess[];
  /** Draws a number in [0, 1). */
  readonly random: () => number;
}

/** The platform's choice of entries, by their readiness. */
class Rotation {
  readonly #misses = new Map<EntryProcess, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly entries: readonly EntryProcess[],
    private readonly random: () => number,
  ) {}

  start(): void {
    this.#timer = setInterval(() => {
      for (const entry of this.entries) void this.#check(entry);
    }, readyIntervalMs);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** An entry that is in rotation, if possible not the one before. */
  pick(before: EntryProcess | undefined): EntryProcess {
    const ready = this.entries.filter((entry) =>
      (this.#misses.get(entry) ?? 0) < maxMisses
    );
    const inUse = ready.length > 0 ? ready : this.entries;
    const others = inUse.filter((entry) => entry !== before);
    const list = others.length > 0 ? others : inUse;
    return list[Math.floor(this.random() * list.length)];
  }

  async #check(entry: EntryProcess): Promise<void> {
    const isReady = await entry.isReady();
    const misses = isReady ? 0 : (this.#misses.get(entry) ?? 0) + 1;
    this.#misses.set(entry, misses);
  }
}

/** The callers of a play. */
export class Callers {
  readonly #agent = new Agent({ connections: 8, pipelining: 1 });
  readonly #rotation: Rotation;
  #isOver = false;

  constructor(private readonly deps: CallersDependencies) {
    this.#rotation = new Rotation(deps.entries, deps.random);
  }

  /** Sends the jobs of a plan at their times, from `startAt` on, in ms. */
  async play(plan: PlayPlan, startAt: number): Promise<void> {
    this.#rotation.start();
    await Promise.all(plan.jobs.map(async (job) => {
      await this.deps.clock.until(startAt + job.sendAt);
      if (!this.#isOver) await this.#sendJob(job);
    }));
  }

  /** Asks once more for all accepted jobs. */
  async askForAll(): Promise<void> {
    const jobs = [...this.deps.record.jobs.values()]
      .filter(({ acceptedAt }) => acceptedAt !== undefined);
    await Promise.all(jobs.map((job) => this.#askUntilAnswered(job)));
  }

  /** Ends all calls. */
  async close(): Promise<void> {
    this.#isOver = true;
    this.#rotation.stop();
    await this.#agent.destroy();
  }

  /** Sends a job until it is accepted, and then follows its state. */
  async #sendJob(planned: PlannedJob): Promise<void> {
    const { id, queue, stepCount, sendAt } = planned;
    const { clock, record } = this.deps;
    const steps = queue.steps.slice(0, stepCount);
    const job: SeenJob = {
      id,
      queue: queue.name,
      pool: queue.pool,
      steps,
      sentAt: clock.now,
    };
    record.jobs.set(id, job);
    const body = JSON.stringify({
      spec: `input of ${id}, sent at ${sendAt}`,
      phases: steps,
    });
    const path = pathPrefix(queue.name) + id;
    const { status } = await this.#callUntil(
      { method: "POST", path, body },
      isSuccess,
    );
    if (!isSuccess(status)) return;
    job.acceptedAt = clock.now;
    void this.#follow(job);
  }

  /** Asks for the state of a job at intervals until it is final. */
  async #follow(job: SeenJob): Promise<void> {
    for (;;) {
      await pause(askIntervalMs);
      if (this.#isOver) return;
      const { state } = await this.#ask(job, undefined);
      if (state !== undefined && finalStates.has(state)) return;
    }
  }

  /** Asks for the state of a job until an answer comes. */
  async #askUntilAnswered(job: SeenJob): Promise<void> {
    for (let attempt = 0; attempt < maxCallAttempts; attempt++) {
      const { status } = await this.#ask(job, undefined);
      if (status === 200 || status === 410 || this.#isOver) return;
      await pause(retryPauseMs);
    }
  }

  async #ask(
    job: SeenJob,
    before: EntryProcess | undefined,
  ): Promise<SeenAnswer> {
    const sentAt = this.deps.clock.now;
    const path = pathPrefix(job.queue) + job.id;
    const { status, text, entry } = await this.#call(
      { method: "GET", path },
      this.#rotation.pick(before),
    );
    const answer = {
      job: job.id,
      entry,
      sentAt,
      answeredAt: this.deps.clock.now,
      status,
      state: status === 200 ? stateOf(text) : undefined,
    };
    if (!this.#isOver) this.deps.record.answers.push(answer);
    return answer;
  }

  /** Calls entries by turns until an answer is accepted. */
  async #callUntil(
    req: CallerRequest,
    isEnough: (status: number | undefined) => boolean,
  ): Promise<CallerAnswer> {
    let entry: EntryProcess | undefined;
    for (let attempt = 1;; attempt++) {
      entry = this.#rotation.pick(entry);
      const answer = await this.#call(req, entry);
      const isLast = attempt >= maxCallAttempts || this.#isOver;
      if (isEnough(answer.status) || isLast) return answer;
      await pause(retryPauseMs);
    }
  }

  async #call(
    { method, path, body }: CallerRequest,
    { plan, address }: EntryProcess,
  ): Promise<CallerAnswer> {
    const entry = plan.name;
    try {
      const res = await request(`http://${address}${path}`, {
        method,
        dispatcher: this.#agent,
        headers: {
          host: authority,
          "deadline-ms": String(deadlineMs),
          "content-type": "application/json",
        },
        ...(body !== undefined && { body }),
        signal: AbortSignal.timeout(deadlineMs),
      });
      return { status: res.statusCode, text: await res.body.text(), entry };
    } catch (err) {
      return { status: undefined, text: String(err), entry };
    }
  }
}

/** Whether a status says that a job was accepted. */
function isSuccess(status: number | undefined): boolean {
  return status !== undefined && status >= 200 && status < 300;
}

/** The state in the body of an answer; undefined if it can't be read. */
function stateOf(text: string): string | undefined {
  try {
    const parsed = v.safeParse(stateSchema, JSON.parse(text));
    return parsed.success ? parsed.output.state : undefined;
  } catch {
    return undefined;
  }
}
