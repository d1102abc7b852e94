/**
 * Keeps a session for each endpoint of a shard and tracks the runs that may be
 * in progress there: those that this owner starts and those of earlier owners.
 *
 * An endpoint that restarts keeps its id; `life` tells its incarnations apart.
 * A session covers one incarnation.
 */
import {
  type JobSpec,
  parseTaskName,
  type Placement,
  type RunEnd,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import type { RunningTask, TaskEndpoint } from "../endpoint/index.ts";
import type { DecisionFields } from "../telemetry/index.ts";
import {
  type DriverDependencies,
  logRunDecision,
  type SessionControl,
  setPhase,
} from "./driver_dependencies.ts";
import { EndDiscards } from "./end_discards.ts";
import { EndpointHolds } from "./endpoint_holds.ts";
import { latestBound } from "./endpoint_lease.ts";
import { EndpointSession } from "./endpoint_session.ts";
import { EndedIncarnations } from "./ended_incarnations.ts";
import { IncarnationCheck } from "./incarnation_check.ts";
import { InheritedLeases } from "./inherited_leases.ts";
import { createRun, type Run } from "./run.ts";
import {
  type OrphanRun,
  OrphanRuns,
  RunIndex,
  RunOrders,
  SettledStarts,
} from "../runs/index.ts";

/** Number of runs whose start order is in flight. */
function countStarting({ runs }: EndpointSession): number {
  return [...runs.values()].filter((r) => r.phase === "starting").length;
}

/** Makes a run one that the life of its session has not acknowledged. */
function forgetAcknowledgement(run: Run): void {
  run.isAcknowledged = false;
  run.isAcknowledgementRecorded = false;
}

/** A time in whole ms for the log; undefined if it is unbounded. */
function finiteMs(ms: number): number | undefined {
  return Number.isFinite(ms) ? Math.round(ms) : undefined;
}

/** Manages the sessions and runs at the endpoints of one shard. */
export class EndpointDriver implements SessionControl {
  /** Sends the orders that start, stop and pace runs. */
  readonly runOrders: RunOrders;
  /** Lets the endpoints discard recorded ends. */
  readonly discards: EndDiscards;
  readonly #sessions = new Map<string, EndpointSession>();
  readonly #runIndex = new RunIndex();
  readonly #holds: EndpointHolds;
  readonly #orphans = new OrphanRuns();
  readonly #inherited: InheritedLeases;
  readonly #incarnations: IncarnationCheck;
  readonly #ended = new EndedIncarnations();
  readonly #settledStarts = new SettledStarts();
  #isStopped = false;

  constructor(private readonly deps: DriverDependencies) {
    this.runOrders = new RunOrders(deps, this);
    this.discards = new EndDiscards(deps);
    this.#holds = new EndpointHolds(
      deps,
      this,
      this.runOrders,
      this.discards,
    );
    this.#incarnations = new IncarnationCheck(deps);
    this.#inherited = new InheritedLeases(deps);
  }

  get isStopped(): boolean {
    return this.#isStopped;
  }

  /** The open sessions. */
  sessions(): readonly EndpointSession[] {
    return [...this.#sessions.values()];
  }

  /** The open session of an endpoint, if any. */
  session(id: string): EndpointSession | undefined {
    return this.#sessions.get(id);
  }

  /** All runs that may be in progress, also where there is no session. */
  *runsInProgress(): Generator<Run> {
    for (const { runs } of this.#sessions.values()) yield* runs.values();
    yield* this.#orphans.runs();
  }

  /**
   * Whether runs may be in progress at endpoints that are not in touch. The next
   * owner would count their leases anew, and their tasks would wait for longer.
   */
  get hasUnsettledRuns(): boolean {
    return this.#orphans.count > 0 ||
      this.sessions().some((session) => session.hasUnsettledRuns);
  }

  /** Stops the driver: it sends no further orders and ends its hold loops. */
  stop(): void {
    this.#isStopped = true;
    this.#holds.holdAllNow();
  }

  /** Tracks a run that an earlier owner may have started. */
  adoptRun(spec: JobSpec, ref: TaskRef, placement: Placement): void {
    this.#orphans.add({
      run: createRun(spec, ref, this.deps.clock.now(), {
        run: placement.run,
        phase: "doubtful",
        isAcknowledged: this.#inherited.isAcknowledged(placement),
      }),
      endpoint: placement.endpoint,
      life: placement.life,
      bound: this.#inherited.bound,
    });
  }

  /**
   * Opens, updates and closes sessions to match the registry, and ends the
   * runs of earlier owners that can no longer be in progress.
   */
  syncWithRegistry(): void {
    const { registry, shard, clock } = this.deps;
    const takenDown = this.deps.takenDownEndpoints();
    const listed = registry.inPool(shard).filter((e) => !takenDown.has(e.id));
    for (const endpoint of listed) this.#openOrUpdateSession(endpoint);
    const ids = new Set(listed.map((e) => e.id));
    for (const session of this.sessions()) {
      if (ids.has(session.endpoint.id)) continue;
      session.endpoint = { ...session.endpoint, draining: true };
      if (session.runs.size === 0) this.endSession(session, "not registered");
    }
    for (const session of this.sessions()) {
      this.#holds.endExpiredRuns(session, clock.now());
    }
    this.discards.unconfirmed.prune(clock.now());
    const lost = this.#orphans.takeLost(clock.now(), takenDown);
    for (const orphan of lost) this.#finishOrphan(orphan);
  }

  /** Ends a run whose endpoint has no session as lost. */
  #finishOrphan({ run, endpoint }: OrphanRun): void {
    const { log, shard, lease } = this.deps;
    log.decision("run-over", {
      shard,
      term: lease.term,
      job: run.job,
      task: run.name,
      run: run.run,
      endpoint,
      acknowledged: run.isAcknowledged,
      reason: "lost: no session until its lease was over",
    });
    this.deps.onRunEnded(run, "lost", "");
  }

  /** Ends the session of an endpoint whose host was taken down. */
  endIncarnation(id: string, reason: string): void {
    const session = this.#sessions.get(id);
    if (session !== undefined) this.endSession(session, reason);
  }

  /** Adds a run whose placement is about to be committed. */
  addIntendedRun(
    session: EndpointSession,
    spec: JobSpec,
    ref: TaskRef,
    run: number,
    { checkpoint, ticket }: Pick<Run, "checkpoint" | "ticket">,
  ): Run {
    const added = createRun(spec, ref, this.deps.clock.now(), {
      run,
      phase: "intended",
      checkpoint,
      ticket,
    });
    this.#addRun(session, added);
    return added;
  }

  /** Stops all runs of a job that is final. */
  stopJob(job: string): void {
    for (const { session, run } of this.#runIndex.ofJob(job)) {
      this.runOrders.stop(session, run, "job is final");
    }
  }

  /** Stops all runs of a task except `doneRun`, the one that is done. */
  stopOtherRuns(job: string, ref: TaskRef, doneRun: number): void {
    const name = taskName(job, ref);
    for (const { session, run } of this.#runIndex.ofJob(job)) {
      if (run.name !== name || run.run === doneRun) continue;
      this.runOrders.stop(session, run, "done elsewhere");
    }
  }

  finishRun(
    session: EndpointSession,
    run: Run,
    end: RunEnd,
    reason: string,
    checkpoint = "",
  ): void {
    session.remove(run);
    this.#runIndex.remove(run);
    if (end !== "done") {
      const { phase, phaseChangedAt, isAcknowledged: acknowledged } = run;
      const phaseMs = Math.round(this.deps.clock.now() - phaseChangedAt);
      const { life } = session.endpoint;
      const logFields = { life, phase, phaseMs, acknowledged };
      const outcome = `${end}: ${reason}`;
      logRunDecision(this.deps, "run-over", session, run, outcome, logFields);
    }
    this.deps.onRunEnded(run, end, checkpoint);
  }

  noteSettledStart({ endpoint }: EndpointSession, run: Run): void {
    if (run.isAcknowledged) return;
    this.#settledStarts.add(endpoint, run, this.deps.clock.now());
  }

  adoptListedRun(session: EndpointSession, listed: RunningTask): boolean {
    const parsed = parseTaskName(listed.task);
    if (parsed === undefined) return false;
    const { job, ref } = parsed;
    this.#withdrawIntendedRun(job, listed);
    const { id, life } = session.endpoint;
    const { run: runNumber } = listed;
    const placement = {
      run: runNumber,
      endpoint: id,
      life,
      isAcknowledged: true,
    };
    const spec = this.deps.adoptPlacement(job, ref, placement);
    if (spec === undefined) return false;
    const run = createRun(spec, ref, this.deps.clock.now(), {
      run: runNumber,
      phase: "running",
      checkpoint: listed.checkpoint,
      isAcknowledged: true,
    });
    this.#addRun(session, run);
    logRunDecision(this.deps, "run-adopted", session, run, "listed");
    return true;
  }

  /**
   * Withdraws a run of a listed task whose start has not been sent, so that the
   * listed run can take its place.
   */
  #withdrawIntendedRun(job: string, listed: RunningTask): void {
    for (const { session, run } of this.#runIndex.ofJob(job)) {
      if (run.name !== listed.task || run.phase !== "intended") continue;
      if (run.step.gang) continue;
      this.finishRun(session, run, "not-started", "another run is listed");
    }
  }

  replaceIncarnation(session: EndpointSession): void {
    if (session.closed) return;
    const unsettled = [...session.runs.values()]
      .filter((run) => !run.isAcknowledged);
    this.#keepAsOrphans(session, unsettled);
    this.endSession(session, "another life");
    this.#ended.delayReopening(session.endpoint.id, this.deps.clock.now());
  }

  /**
   * Keeps runs of a session that ends, and may still be in progress until the
   * end of their lease, for the next session of the endpoint's id.
   */
  #keepAsOrphans(session: EndpointSession, runs: readonly Run[]): void {
    const { id, life } = session.endpoint;
    const { bound } = session.lease;
    for (const run of runs) {
      if (run.phase === "intended") continue;
      session.remove(run);
      this.#runIndex.remove(run);
      this.#orphans.add({
        run: { ...run, stoppedAt: undefined },
        endpoint: id,
        life,
        bound,
      });
    }
  }

  setAside(session: EndpointSession, reason: string): void {
    if (session.mayHideEnds) return;
    session.mayHideEnds = true;
    this.#logSession("endpoint-set-aside", session, {
      reason,
      runs: session.runs.size,
    });
    this.stopEndingRuns(session);
  }

  stopEndingRuns(session: EndpointSession): void {
    for (const run of session.runs.values()) {
      if (run.phase !== "running" || run.step.longRunning) continue;
      this.runOrders.stop(session, run, "its endpoint is set aside");
    }
  }

  endSession(session: EndpointSession, reason: string): void {
    if (session.closed) return;
    session.closed = true;
    this.discards.endSession(session);
    this.deps.orders.endIncarnation(session.endpoint);
    this.#logSession("session-ended", session, {
      reason,
      runs: session.runs.size,
      starting: countStarting(session),
      listsAgeMs: finiteMs(session.listsAge(this.deps.clock.now())),
    });
    for (const run of [...session.runs.values()]) {
      this.finishRun(session, run, "lost", reason);
    }
    const { id, life } = session.endpoint;
    if (this.#sessions.get(id) === session) this.#sessions.delete(id);
    this.#ended.add(id, life, session.lease.bound, this.deps.clock.now());
    this.holdNow(session);
  }

  holdNow(session: EndpointSession): void {
    this.#holds.holdNow(session);
  }

  #addRun(session: EndpointSession, run: Run): void {
    session.add(run);
    this.#runIndex.add(session, run);
  }

  /**
   * Updates the session of a registered endpoint, or opens one. A registration
   * alone does not end the session of another incarnation: it may be that of
   * another writer, or out of date. The endpoint itself has to confirm it.
   */
  #openOrUpdateSession(endpoint: TaskEndpoint): void {
    const { id, life } = endpoint;
    const existing = this.#sessions.get(id);
    if (existing === undefined) {
      const mayOpen = this.#ended.mayOpen(id, life, this.deps.clock.now());
      if (mayOpen) this.#openSession(endpoint);
    } else if (existing.endpoint.life === life) {
      existing.updateRegistration(endpoint);
    } else this.#checkIncarnation(existing, endpoint);
  }

  /**
   * Replaces a session if the incarnation that the registration names answers.
   * Until then no task is placed there.
   */
  async #checkIncarnation(
    session: EndpointSession,
    endpoint: TaskEndpoint,
  ): Promise<void> {
    session.isDisputed = true;
    if (!await this.#incarnations.isConfirmed(endpoint)) return;
    if (this.#isStopped || session.closed) return;
    this.replaceIncarnation(session);
    this.#openSession(endpoint);
  }

  /**
   * Opens the session of an incarnation, with the runs that may be in progress
   * there.
   */
  #openSession(endpoint: TaskEndpoint): void {
    const { id, life } = endpoint;
    const orphans = this.#orphans.takeForEndpoint(id);
    const now = this.deps.clock.now();
    const inherited = latestBound([
      this.#ended.boundOf(id, life),
      this.#inherited.boundOf(endpoint),
      ...orphans.map(({ bound }) => bound),
    ]);
    const session = new EndpointSession(endpoint, inherited);
    this.#sessions.set(id, session);
    for (const orphan of orphans) {
      const { run } = orphan;
      setPhase(run, "doubtful", now);
      // The session's life may be a wrong one, of a row of another writer: its
      // end must not end a run that another life has acknowledged.
      if (orphan.life !== life) forgetAcknowledgement(run);
      this.#addRun(session, run);
    }
    this.#logSession("session-opened", session, { adopted: orphans.length });
    if (this.discards.unconfirmed.mayHideEnds(endpoint, now)) {
      this.setAside(session, "a hold for a former incarnation may reach it");
    }
    for (const start of this.#settledStarts.arrivingAt(endpoint, now)) {
      this.runOrders.refuseStart(session, start);
    }
    this.#holds.holdUntilClosed(session).catch((err) =>
      this.#abandonSession(session, err)
    );
  }

  /**
   * Ends a session whose hold loop has thrown an error, so that the others go
   * on. The incarnation gets another session some time later.
   */
  #abandonSession(session: EndpointSession, err: unknown): void {
    const { id } = session.endpoint;
    this.deps.onCrash(`endpoint ${id}`, err);
    if (session.closed) return;
    this.#keepAsOrphans(session, [...session.runs.values()]);
    this.endSession(session, "error");
    this.#ended.delayReopening(id, this.deps.clock.now());
  }

  /** Logs that the session of an incarnation was opened or ended. */
  #logSession(
    event: string,
    { endpoint }: EndpointSession,
    fields: DecisionFields,
  ): void {
    const { log, shard, lease } = this.deps;
    const { id, life } = endpoint;
    const { term } = lease;
    log.decision(event, { ...fields, shard, term, endpoint: id, life });
  }
}
