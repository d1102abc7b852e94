/**
 * Keeps a session for each endpoint of a shard, holds its leases while
 * anything may run there, and turns its lists into ends of runs.
 */
import {
  type JobSpec,
  parseTaskName,
  type Placement,
  type RunEnd,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import { delay } from "../clock/index.ts";
import type {
  EndedTask,
  EndpointLists,
  HoldOutcome,
  TaskEndpoint,
} from "../endpoint/index.ts";
import { isStartingUp } from "./availability.ts";
import {
  type DriverParts,
  holdWithoutStoreMs,
  logRun,
  longestLease,
  type SessionControl,
} from "./driver_parts.ts";
import {
  EndpointSession,
  type Run,
  type RunPhase,
} from "./endpoint_session.ts";
import { OrphanRuns } from "./orphan_runs.ts";
import { RunIndex } from "./run_index.ts";
import { RunOrders } from "./run_orders.ts";
import { afterFailure, noSuspicion } from "./suspicion.ts";

/** How long a hold waits for an end, in ms. */
const holdWaitMs = 1_000;

/**
 * The same while a long-running task starts up, in ms: the next one of its
 * step may be moved only when this one is known to be at work.
 */
const startupHoldMs = 250;

/** Time after which an endpoint without runs is looked at again, in ms. */
const idleHoldMs = 10_000;

/** Pause after a hold without an answer, in ms. */
const retryMs = 250;

/** Stands for the life of an endpoint that has ended. */
const noLife = -1;

/** Drives the endpoints of one shard. */
export class EndpointDriver implements SessionControl {
  readonly runs: RunOrders;
  readonly #sessions = new Map<string, EndpointSession>();
  readonly #index = new RunIndex();
  readonly #wakes = new Map<EndpointSession, () => void>();
  readonly #orphans: OrphanRuns;
  #stopped = false;

  constructor(private readonly parts: DriverParts) {
    this.runs = new RunOrders(parts, this);
    this.#orphans = new OrphanRuns(
      parts.clock.now() + longestLease(parts.previous),
    );
  }

  get isStopped(): boolean {
    return this.#stopped;
  }

  /** Sessions of the endpoints that are known. */
  sessions(): readonly EndpointSession[] {
    return [...this.#sessions.values()];
  }

  /** The session of an endpoint. */
  session(id: string): EndpointSession | undefined {
    return this.#sessions.get(id);
  }

  /** Stops all orders. */
  stop(): void {
    this.#stopped = true;
    for (const wake of this.#wakes.values()) wake();
  }

  /** Takes note of a run that an earlier owner may have started. */
  adopt(spec: JobSpec, ref: TaskRef, placement: Placement): void {
    this.#orphans.add({ spec, ref, placement });
  }

  /** Brings the sessions in line with the registry. */
  refresh(): void {
    const { registry, shard, clock } = this.parts;
    const ended = this.parts.endedLives();
    const listed = registry.inPool(shard).filter((e) => !ended.has(e.id));
    for (const endpoint of listed) this.#meet(endpoint);
    const ids = new Set(listed.map((e) => e.id));
    for (const session of this.sessions()) {
      if (ids.has(session.endpoint.id)) continue;
      session.endpoint = { ...session.endpoint, draining: true };
      if (session.runs.size === 0) this.close(session, "not registered");
    }
    const lives = (id: string) =>
      ended.has(id) ? noLife : registry.get(id)?.life;
    for (const orphan of this.#orphans.takeDead(clock.now(), lives)) {
      const { spec, ref, placement } = orphan;
      const run = this.#newRun(spec, ref, placement.run, "doubtful", "");
      this.parts.ended(run, "lost", "");
    }
  }

  /** Ends the life of an endpoint whose host was taken down. */
  endLife(id: string, reason: string): void {
    const session = this.#sessions.get(id);
    if (session !== undefined) this.close(session, reason);
  }

  /** Adds a run whose intent is being committed. */
  intend(
    session: EndpointSession,
    spec: JobSpec,
    ref: TaskRef,
    run: number,
    { checkpoint, ticket }: Pick<Run, "checkpoint" | "ticket">,
  ): Run {
    const added = this.#newRun(spec, ref, run, "intended", checkpoint, ticket);
    this.#add(session, added);
    return added;
  }

  /** Stops every run of a job. */
  stopJob(job: string): void {
    for (const { session, run } of this.#index.ofJob(job)) {
      this.runs.stop(session, run, "job is final");
    }
  }

  /** After a task is done, stops its other runs. */
  stopOtherRuns(job: string, ref: TaskRef, number: number): void {
    const name = taskName(job, ref);
    for (const { session, run } of this.#index.ofJob(job)) {
      if (run.name !== name || run.run === number) continue;
      this.runs.stop(session, run, "done elsewhere");
    }
  }

  finish(
    session: EndpointSession,
    run: Run,
    end: RunEnd,
    reason: string,
    checkpoint = "",
  ): void {
    session.remove(run);
    this.#index.remove(run);
    if (end !== "done") {
      logRun(this.parts, "run-over", session, run, `${end}: ${reason}`);
    }
    this.parts.ended(run, end, checkpoint);
  }

  close(session: EndpointSession, reason: string): void {
    if (session.closed) return;
    session.closed = true;
    for (const run of [...session.runs.values()]) {
      this.finish(session, run, "lost", reason);
    }
    const { id } = session.endpoint;
    if (this.#sessions.get(id) === session) this.#sessions.delete(id);
    this.wake(session);
  }

  wake(session: EndpointSession): void {
    this.#wakes.get(session)?.();
  }

  #add(session: EndpointSession, run: Run): void {
    session.add(run);
    this.#index.add(session, run);
  }

  #meet(endpoint: TaskEndpoint): void {
    const known = this.#sessions.get(endpoint.id);
    if (known?.endpoint.life === endpoint.life) {
      known.endpoint = endpoint;
      return;
    }
    if (known !== undefined) this.close(known, "another life");
    const adopted = this.#orphans.take(endpoint.id, endpoint.life);
    const bound = adopted.length > 0 ? this.#orphans.leaseEndsBy : -Infinity;
    const session = new EndpointSession(endpoint, bound);
    this.#sessions.set(endpoint.id, session);
    for (const orphan of adopted) {
      const { spec, ref, placement } = orphan;
      const run = this.#newRun(spec, ref, placement.run, "doubtful", "");
      this.#add(session, run);
    }
    this.#holdLoop(session);
  }

  #newRun(
    spec: JobSpec,
    ref: TaskRef,
    run: number,
    phase: RunPhase,
    checkpoint: string,
    ticket = "",
  ): Run {
    const now = this.parts.clock.now();
    return {
      name: taskName(spec.id, ref),
      job: spec.id,
      ref,
      run,
      step: spec.steps[ref.step],
      payload: spec.payload,
      phase,
      changedAt: now,
      begunAt: undefined,
      stoppedAt: undefined,
      percent: -1,
      progressedAt: now,
      load: undefined,
      pace: 100,
      checkpoint,
      ticket,
    };
  }

  async #holdLoop(session: EndpointSession): Promise<void> {
    while (!this.#stopped && !session.closed) {
      const pause = await this.#hold(session);
      if (this.#stopped || session.closed) break;
      if (pause > 0) await this.#pause(session, pause);
    }
    this.#wakes.delete(session);
  }

  /** Sends one hold; returns the time until the next, in ms. */
  async #hold(session: EndpointSession): Promise<number> {
    const { orders, lease, clock } = this.parts;
    const sentAt = clock.now();
    // An endpoint that has fallen silent is given no more lease, so that the
    // time after which nothing can run there stands still.
    const keeps = lease.ageMs < holdWithoutStoreMs && !session.silent;
    const leaseUntil = keeps ? session.askLease(sentAt) : undefined;
    const outcome = await orders.hold(session.endpoint, {
      term: lease.term,
      recordedEnd: session.recordedEnd,
      ...(leaseUntil !== undefined && { leaseUntil }),
      waitMs: keeps ? this.#holdWait(session) : 0,
    });
    if (this.#stopped || session.closed) return 0;
    if (outcome.kind === "lists") {
      return await this.#takeLists(session, outcome.lists, sentAt);
    }
    return this.#holdFailed(session, outcome);
  }

  #holdWait(session: EndpointSession): number {
    if (session.runs.size === 0) return 0;
    const starts = isStartingUp(session, this.parts.clock.now());
    return starts ? startupHoldMs : holdWaitMs;
  }

  #holdFailed(
    session: EndpointSession,
    outcome: Exclude<HoldOutcome, { kind: "lists" }>,
  ): number {
    const { clock, log, shard } = this.parts;
    session.noteSilence(clock.now());
    const reason = outcome.kind === "rejected"
      ? outcome.reason
      : outcome.message;
    log.decision("hold-failed", {
      shard,
      endpoint: session.endpoint.id,
      reason,
      runs: session.runs.size,
      leaseLeftMs: Math.round(session.leaseEndsBy - clock.now()),
    });
    if (reason === "fenced") this.parts.fenced();
    else if (reason === "other-life") this.close(session, reason);
    else if (clock.now() > session.leaseEndsBy) this.#leaseOver(session);
    return retryMs;
  }

  /** Nothing can run there any more; what comes back is met anew. */
  #leaseOver(session: EndpointSession): void {
    session.fenced = false;
    for (const run of [...session.runs.values()]) {
      if (run.phase === "intended") continue;
      this.finish(session, run, "lost", "lease over");
    }
  }

  async #takeLists(
    session: EndpointSession,
    lists: EndpointLists,
    sentAt: number,
  ): Promise<number> {
    const now = this.parts.clock.now();
    if (lists.life !== session.endpoint.life) {
      this.close(session, "another life");
      return retryMs;
    }
    session.readClock(lists.clockMs, now);
    session.noteAnswer(sentAt, now);
    this.#settle(session, lists, sentAt, now);
    this.runs.paceFillers(session);
    if (!session.fenced) {
      session.fenced = true;
      this.parts.changed();
    }
    const lastSeq = lists.ended.at(-1)?.seq;
    if (lastSeq !== undefined) await this.#recorded(session, lastSeq);
    return session.runs.size > 0 || lastSeq !== undefined ? 0 : idleHoldMs;
  }

  #settle(
    session: EndpointSession,
    lists: EndpointLists,
    sentAt: number,
    now: number,
  ): void {
    const findings = session.compare(lists, sentAt, now);
    for (const run of findings.confirmed) {
      this.parts.begun(run);
      // A run that an earlier owner started for a job that has since ended.
      if (!this.parts.mayStart(run)) {
        this.runs.stop(session, run, "unwanted");
      }
    }
    for (const end of findings.ended) this.#takeEnd(session, end);
    for (const run of findings.absent) {
      this.finish(session, run, "not-started", "absent after a stop");
    }
    for (const run of findings.unsettled) {
      this.runs.stop(session, run, "not listed");
    }
    for (const { task, run } of findings.foreign) {
      this.runs.stopForeign(session, task, run);
    }
  }

  #takeEnd(session: EndpointSession, ended: EndedTask): void {
    const { task, run: number, end, checkpoint } = ended;
    const run = session.find(task, number);
    const now = this.parts.clock.now();
    if (run !== undefined) {
      if (end === "done") session.suspicion = noSuspicion;
      if (end === "failed") {
        session.suspicion = afterFailure(session.suspicion, run.job, now);
      }
      this.finish(session, run, end, "listed", checkpoint);
      return;
    }
    const parsed = parseTaskName(task);
    if (parsed === undefined) return;
    const { job, ref } = parsed;
    this.parts.endedElsewhere(job, ref, number, end, checkpoint);
  }

  /** Waits until the ends so far are committed; then they may be forgotten. */
  async #recorded(session: EndpointSession, seq: number): Promise<void> {
    const committed = new Promise<void>((resolve) => {
      this.parts.afterCommit(() => {
        session.recordedEnd = Math.max(session.recordedEnd, seq);
        resolve();
      });
    });
    // Leases go on being held while the store is away.
    await Promise.race([committed, delay(this.parts.clock, holdWaitMs)]);
  }

  #pause(session: EndpointSession, ms: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        cancel();
        this.#wakes.delete(session);
        resolve();
      };
      const cancel = this.parts.clock.after(ms, done);
      this.#wakes.set(session, done);
    });
  }
}
