/**
 * Keeps a session for each endpoint of a shard, and the runs that may be under
 * way there: those that this owner starts and those of the owner before.
 */
import {
  type JobSpec,
  type Placement,
  type RunEnd,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import type { TaskEndpoint } from "../endpoint/index.ts";
import {
  type DriverParts,
  logRun,
  longestLease,
  type SessionControl,
} from "./driver_parts.ts";
import { EndpointHolds } from "./endpoint_holds.ts";
import {
  EndpointSession,
  type Run,
  type RunPhase,
} from "./endpoint_session.ts";
import { OrphanRuns } from "./orphan_runs.ts";
import { RunIndex } from "./run_index.ts";
import { RunOrders } from "./run_orders.ts";

/** Stands for the life of an endpoint that has ended. */
const noLife = -1;

/** Drives the endpoints of one shard. */
export class EndpointDriver implements SessionControl {
  readonly runs: RunOrders;
  readonly #sessions = new Map<string, EndpointSession>();
  readonly #index = new RunIndex();
  readonly #holds: EndpointHolds;
  readonly #orphans: OrphanRuns;
  #stopped = false;

  constructor(private readonly parts: DriverParts) {
    this.runs = new RunOrders(parts, this);
    this.#holds = new EndpointHolds(parts, this, this.runs);
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
    this.#holds.wakeAll();
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
    this.#holds.wake(session);
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
    this.#holds.follow(session);
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
}
