/**
 * Sends a shard's orders to its endpoints and turns their lists into ends of
 * runs. One loop an endpoint holds its leases while anything may run there.
 */
import {
  type JobSpec,
  parseTaskName,
  type Placement,
  type RunEnd,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import { type Clock, delay } from "../clock/index.ts";
import { memberLeaseMs, type ShardLease } from "../cluster/index.ts";
import type {
  EndpointLists,
  EndpointRegistry,
  HoldOutcome,
  Rejection,
  TaskEndpoint,
  TaskOrders,
} from "../endpoint/index.ts";
import type { DecisionLog } from "./decision_log.ts";
import {
  clockDrift,
  deliveryMs,
  EndpointSession,
  type Run,
  type RunPhase,
  taskLeaseMs,
} from "./endpoint_session.ts";
import { OrphanRuns } from "./orphan_runs.ts";
import { paceRuns } from "./pace.ts";
import { afterFailure, afterSuccess } from "./suspicion.ts";

/** How long a hold waits for an end, in ms. */
const holdWaitMs = 1_000;

/** Time after which an endpoint without runs is looked at again, in ms. */
const idleHoldMs = 10_000;

/** Pause after a hold or a stop without an answer, in ms. */
const retryMs = 250;

/**
 * How long an owner that can't renew its own lease goes on holding those of
 * its tasks, in ms.
 */
const holdWithoutStoreMs = 4_500;

/** Age of the owner's last commit from which it starts nothing, in ms. */
const startFreshnessMs = 2_000;

/** Time for which an endpoint that had no room gets no task, in ms. */
const noRoomMs = 150;

/** Time for which an endpoint that could not be reached gets no task, in ms. */
const unreachableMs = 1_000;

/** What is known of the owner before this one. */
export type PreviousOwner =
  /** It has released the shard, or its process has ended. */
  | "ended"
  /** It fell silent, and may go on without the store for a while. */
  | "silent";

/** Longest time that a lease of the owner before may still last, in ms. */
function longestLease(previous: PreviousOwner): number {
  const lease = taskLeaseMs * (1 + clockDrift) + deliveryMs;
  if (previous === "ended") return lease;
  return lease + holdWithoutStoreMs - memberLeaseMs;
}

/** What the driver works with, and whom it tells. */
export interface DriverParts {
  readonly shard: string;
  readonly lease: ShardLease;
  readonly previous: PreviousOwner;
  readonly orders: TaskOrders;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** A run of this shard has ended. */
  ended(run: Run, end: RunEnd, checkpoint: string): void;
  /** An endpoint lists the end of a run that is not its present one. */
  endedElsewhere(
    job: string,
    ref: TaskRef,
    run: number,
    end: RunEnd,
    checkpoint: string,
  ): void;
  /** Ids of endpoints whose host was taken down. */
  endedLives(): ReadonlySet<string>;
  /** Whether an intended run should still start. */
  mayStart(run: Run): boolean;
  /** A run was confirmed by its endpoint. */
  begun(run: Run): void;
  /** Calls back once all changes so far are committed. */
  afterCommit(action: () => void): void;
  /** Room or endpoints have changed. */
  changed(): void;
  /** An endpoint has seen a higher fencing token. */
  fenced(): void;
}

/** Stands for the life of an endpoint that has ended. */
const noLife = -1;

/** Drives the endpoints of one shard. */
export class EndpointDriver {
  readonly #sessions = new Map<string, EndpointSession>();
  readonly #wakes = new Map<EndpointSession, () => void>();
  readonly #orphans: OrphanRuns;
  #stopped = false;

  constructor(private readonly parts: DriverParts) {
    this.#orphans = new OrphanRuns(
      parts.clock.now() + longestLease(parts.previous),
    );
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
      if (session.runs.size === 0) this.#close(session, "not registered");
    }
    const lives = (id: string) =>
      ended.has(id) ? noLife : registry.get(id)?.life;
    for (const orphan of this.#orphans.takeDead(clock.now(), lives)) {
      const { spec, ref, placement } = orphan;
      const run = this.#newRun(spec, ref, placement.run, "doubtful", "");
      this.parts.ended(run, "lost", "");
    }
  }

  #meet(endpoint: TaskEndpoint): void {
    const known = this.#sessions.get(endpoint.id);
    if (known?.endpoint.life === endpoint.life) {
      known.endpoint = endpoint;
      return;
    }
    if (known !== undefined) this.#close(known, "another life");
    const adopted = this.#orphans.take(endpoint.id, endpoint.life);
    const bound = adopted.length > 0 ? this.#orphans.leaseEndsBy : -Infinity;
    const session = new EndpointSession(endpoint, bound);
    this.#sessions.set(endpoint.id, session);
    for (const orphan of adopted) {
      const { spec, ref, placement } = orphan;
      session.add(this.#newRun(spec, ref, placement.run, "doubtful", ""));
    }
    this.#holdLoop(session);
  }

  /** Ends the life of an endpoint whose host was taken down. */
  endLife(id: string, reason: string): void {
    const session = this.#sessions.get(id);
    if (session !== undefined) this.#close(session, reason);
  }

  /** Adds a run whose intent is being committed. */
  intend(
    session: EndpointSession,
    spec: JobSpec,
    ref: TaskRef,
    run: number,
    checkpoint: string,
  ): Run {
    const added = this.#newRun(spec, ref, run, "intended", checkpoint);
    session.add(added);
    return added;
  }

  #newRun(
    spec: JobSpec,
    ref: TaskRef,
    run: number,
    phase: RunPhase,
    checkpoint: string,
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
      startedAt: now,
      stoppedAt: undefined,
      percent: -1,
      progressedAt: now,
      load: undefined,
      pace: 100,
      checkpoint,
    };
  }

  /** Sends the start of a run whose intent is committed. */
  async start(session: EndpointSession, run: Run): Promise<void> {
    const { lease, clock, orders } = this.parts;
    if (this.#stopped || run.phase !== "intended") return;
    const leaseUntil = session.askLease(clock.now());
    const fresh = lease.ageMs < startFreshnessMs;
    const wanted = this.parts.mayStart(run);
    if (!fresh || !wanted || session.closed || leaseUntil === undefined) {
      this.#finish(session, run, "not-started", fresh ? "unwanted" : "stale");
      return;
    }
    this.#setPhase(run, "starting");
    const outcome = await orders.start(session.endpoint, {
      term: lease.term,
      task: run.name,
      run: run.run,
      payload: run.payload,
      leaseUntil,
      checkpoint: run.checkpoint,
    });
    if (this.#stopped || session.runs.get(run.name) !== run) return;
    if (outcome.kind === "done") {
      this.parts.begun(run);
      this.#settleStart(run, "running");
      if (!this.parts.mayStart(run)) this.stopRun(session, run, "unwanted");
    } else if (outcome.kind === "rejected") {
      this.#startRejected(session, run, outcome.reason);
    } else {
      this.#log("start-unknown", session, run, outcome.message);
      this.#settleStart(run, "doubtful");
    }
    this.#wake(session);
  }

  /** Unless the run was listed or stopped while its start was on its way. */
  #settleStart(run: Run, phase: RunPhase): void {
    if (run.phase === "starting") this.#setPhase(run, phase);
  }

  #startRejected(session: EndpointSession, run: Run, reason: Rejection): void {
    const now = this.parts.clock.now();
    if (reason === "fenced") {
      this.parts.fenced();
      return;
    }
    if (reason === "no-room") session.fullUntil = now + noRoomMs;
    if (reason === "unreachable") session.fullUntil = now + unreachableMs;
    if (reason === "unhealthy") {
      session.suspicion = afterFailure(session.suspicion, run.job, now);
      session.fullUntil = now + noRoomMs;
    }
    this.#finish(session, run, "not-started", reason);
    if (reason === "other-life") this.#close(session, reason);
  }

  /** Stops a run and settles it, however long that takes. */
  async stopRun(
    session: EndpointSession,
    run: Run,
    reason: string,
  ): Promise<void> {
    if (run.phase === "stopping" || run.phase === "intended") return;
    this.#setPhase(run, "stopping");
    this.#log("task-stopped", session, run, reason);
    const { orders, lease, clock } = this.parts;
    while (session.runs.get(run.name) === run && !session.closed) {
      const outcome = await orders.stop(session.endpoint, {
        term: lease.term,
        task: run.name,
        run: run.run,
      });
      if (this.#stopped) return;
      if (outcome.kind === "done") {
        run.stoppedAt = clock.now();
        this.#wake(session);
        return;
      }
      if (outcome.kind === "rejected") {
        if (outcome.reason === "fenced") return this.parts.fenced();
        if (outcome.reason === "other-life") {
          return this.#close(session, outcome.reason);
        }
      }
      await delay(clock, retryMs);
    }
  }

  /** Stops every run of a job. */
  stopJob(job: string): void {
    for (const session of this.sessions()) {
      for (const run of session.runs.values()) {
        if (run.job === job) this.stopRun(session, run, "job is final");
      }
    }
  }

  /** After a task is done, stops its other runs. */
  stopOtherRuns(name: string, number: number, end: RunEnd): void {
    if (end !== "done") return;
    for (const session of this.sessions()) {
      const run = session.runs.get(name);
      if (run === undefined || run.run === number) continue;
      this.stopRun(session, run, "done elsewhere");
    }
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
      waitMs: session.runs.size > 0 && keeps ? holdWaitMs : 0,
    });
    if (this.#stopped || session.closed) return 0;
    if (outcome.kind === "lists") {
      return await this.#takeLists(session, outcome.lists, sentAt);
    }
    return this.#holdFailed(session, outcome);
  }

  #holdFailed(
    session: EndpointSession,
    outcome: Exclude<HoldOutcome, { kind: "lists" }>,
  ): number {
    const { clock, log, shard } = this.parts;
    session.silent = true;
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
    else if (reason === "other-life") this.#close(session, reason);
    else if (clock.now() > session.leaseEndsBy) {
      // Nothing can run there any more; what comes back is met anew.
      session.fenced = false;
      for (const run of [...session.runs.values()]) {
        if (run.phase !== "intended") {
          this.#finish(session, run, "lost", "lease over");
        }
      }
    }
    return retryMs;
  }

  async #takeLists(
    session: EndpointSession,
    lists: EndpointLists,
    sentAt: number,
  ): Promise<number> {
    const { clock } = this.parts;
    const now = clock.now();
    if (lists.life !== session.endpoint.life) {
      this.#close(session, "another life");
      return retryMs;
    }
    session.readClock(lists.clockMs, now);
    session.silent = false;
    const findings = session.compare(lists, sentAt, now);
    for (const run of findings.confirmed) {
      this.parts.begun(run);
      // A run that an earlier owner started for a job that has since ended.
      if (!this.parts.mayStart(run)) this.stopRun(session, run, "unwanted");
    }
    for (const { task, run, end, checkpoint } of findings.ended) {
      this.#takeEnd(session, task, run, end, checkpoint);
    }
    for (const run of findings.absent) {
      this.#finish(session, run, "not-started", "absent after a stop");
    }
    for (const run of findings.unsettled) {
      this.stopRun(session, run, "not listed");
    }
    for (const { task, run } of findings.foreign) {
      this.#stopForeign(session, task, run);
    }
    this.#paceFillers(session);
    if (!session.fenced) {
      session.fenced = true;
      this.parts.changed();
    }
    const lastSeq = lists.ended.at(-1)?.seq;
    if (lastSeq !== undefined) await this.#recorded(session, lastSeq);
    return session.runs.size > 0 || lastSeq !== undefined ? 0 : idleHoldMs;
  }

  #takeEnd(
    session: EndpointSession,
    task: string,
    number: number,
    end: RunEnd,
    checkpoint: string,
  ): void {
    const run = session.find(task, number);
    const now = this.parts.clock.now();
    if (run !== undefined) {
      if (end === "done") session.suspicion = afterSuccess(session.suspicion);
      if (end === "failed") {
        session.suspicion = afterFailure(session.suspicion, run.job, now);
      }
      this.#finish(session, run, end, "listed", checkpoint);
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

  #paceFillers(session: EndpointSession): void {
    const { orders, lease } = this.parts;
    for (const { run, percent } of paceRuns(session.runs.values())) {
      if (run.phase !== "running") continue;
      run.pace = percent;
      this.#log("task-paced", session, run, `${percent}%`);
      orders.pace(session.endpoint, {
        term: lease.term,
        task: run.name,
        run: run.run,
        percent,
      }).then((outcome) => {
        if (outcome.kind !== "done") run.pace = -1;
      });
    }
  }

  async #stopForeign(
    session: EndpointSession,
    task: string,
    run: number,
  ): Promise<void> {
    const { orders, lease, log, shard } = this.parts;
    const outcome = await orders.stop(session.endpoint, {
      term: lease.term,
      task,
      run,
    });
    log.decision("foreign-run-stopped", {
      shard,
      task,
      run,
      endpoint: session.endpoint.id,
      outcome: outcome.kind,
    });
  }

  #finish(
    session: EndpointSession,
    run: Run,
    end: RunEnd,
    reason: string,
    checkpoint = "",
  ): void {
    session.remove(run);
    if (end !== "done") {
      this.#log("run-over", session, run, `${end}: ${reason}`);
    }
    this.parts.ended(run, end, checkpoint);
  }

  /** Ends a session; what ran in that life is lost. */
  #close(session: EndpointSession, reason: string): void {
    if (session.closed) return;
    session.closed = true;
    for (const run of [...session.runs.values()]) {
      this.#finish(session, run, "lost", reason);
    }
    const { id } = session.endpoint;
    if (this.#sessions.get(id) === session) this.#sessions.delete(id);
    this.#wake(session);
  }

  #setPhase(run: Run, phase: RunPhase): void {
    run.phase = phase;
    run.changedAt = this.parts.clock.now();
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

  #wake(session: EndpointSession): void {
    this.#wakes.get(session)?.();
  }

  #log(
    event: string,
    session: EndpointSession,
    run: Run,
    reason: string,
  ): void {
    const { log, shard, lease } = this.parts;
    log.decision(event, {
      shard,
      term: lease.term,
      job: run.job,
      task: run.name,
      run: run.run,
      endpoint: session.endpoint.id,
      reason,
    });
  }
}
