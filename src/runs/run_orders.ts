/**
 * Sends the orders that start, stop and pace single runs, and handles orders
 * whose outcome is unknown.
 */
import { delay } from "../clock/index.ts";
import type { OrderOutcome, Rejection } from "../endpoint/index.ts";
import type { DecisionFields } from "../telemetry/index.ts";
import {
  type DriverDependencies,
  type EndpointSession,
  logRunDecision,
  type Run,
  type RunPhase,
  type SessionControl,
  setPhase,
  withFailure,
} from "../sessions/index.ts";
import { computePaceChanges } from "./filler_pace.ts";
import type { SettledStart } from "./settled_starts.ts";

/** Pause before a stop that had no answer is sent again, in ms. */
const stopRetryPauseMs = 250;

/** Age of the owner's last commit from which it starts no run, in ms. */
const maxCommitAgeForStartMs = 2_000;

/**
 * Time for which an endpoint gets no task after it rejected one for lack of
 * resources or as unhealthy, in ms.
 */
const rejectionPauseMs = 150;

/** Time for which an endpoint that was unreachable gets no task, in ms. */
const unreachableMs = 1_000;

/** Condition under which a run is stopped, with the inputs of that decision. */
export interface StopCondition {
  /** Inputs of the decision, as fields of its log line. */
  readonly logFields: DecisionFields;
  /** Whether the run is still to be stopped; called before each attempt. */
  readonly isMet: () => boolean;
}

/** A condition that always holds. */
const unconditional: StopCondition = { logFields: {}, isMet: () => true };

/** Sends the orders about single runs of one shard. */
export class RunOrders {
  constructor(
    private readonly deps: DriverDependencies,
    private readonly control: SessionControl,
  ) {}

  /**
   * Sends the start of a run whose placement is committed. Ends the run as not
   * started when the owner's last commit is too old, the run is no longer
   * wanted, or the endpoint cannot take it any more.
   */
  async start(session: EndpointSession, run: Run): Promise<void> {
    await session.discardGate.sendStart(
      () => this.#sendStart(session, run),
      () => this.#giveUpStart(session, run, "a discard is unanswered"),
    );
    this.control.holdNow(session);
  }

  /** Ends a run that was not started, unless it has ended. */
  #giveUpStart(session: EndpointSession, run: Run, reason: string): void {
    if (this.control.isStopped || session.runs.get(run.name) !== run) return;
    this.control.finishRun(session, run, "not-started", reason);
  }

  async #sendStart(session: EndpointSession, run: Run): Promise<void> {
    const { lease, clock, orders } = this.deps;
    if (this.control.isStopped || session.runs.get(run.name) !== run) return;
    if (run.phase !== "intended") return;
    const obstacle = this.#startObstacle(session, run);
    const leaseUntil = obstacle === undefined
      ? session.lease.nextLeaseUntil(clock.now())
      : undefined;
    if (leaseUntil === undefined) {
      const reason = obstacle ?? "clock not known";
      return this.#giveUpStart(session, run, reason);
    }
    this.#setPhase(run, "starting");
    run.progressedAt = clock.now();
    if (run.checkpoint === "") run.startSentAt = run.progressedAt;
    const sentAt = clock.now();
    const outcome = await orders.start(session.endpoint, {
      term: lease.term,
      task: run.name,
      run: run.run,
      payload: run.payload,
      leaseUntil,
      checkpoint: run.checkpoint,
      ticket: run.ticket,
    });
    const isOwnAnswer = outcome.kind === "done" &&
      outcome.clockMs !== undefined &&
      session.lease.checkClock(outcome.clockMs, sentAt);
    if (this.control.isStopped || session.runs.get(run.name) !== run) return;
    if (outcome.kind === "done") {
      run.isAcknowledged ||= isOwnAnswer;
      this.deps.onRunConfirmed(run);
      this.#resolveStart(run, "running");
      if (!this.deps.mayStart(run)) this.stop(session, run, "unwanted");
    } else if (outcome.kind === "rejected") {
      this.#handleStartRejection(session, run, outcome.reason);
    } else {
      logRunDecision(
        this.deps,
        "start-unknown",
        session,
        run,
        outcome.message,
      );
      this.#resolveStart(run, "doubtful");
    }
  }

  /** Why the start of a run is not sent; undefined if it is. */
  #startObstacle(session: EndpointSession, run: Run): string | undefined {
    if (this.deps.lease.ageMs >= maxCommitAgeForStartMs) return "stale";
    if (session.silent) return "silent";
    if (session.mayHideEnds) return "set aside";
    const isWanted = this.deps.mayStart(run) && !session.closed;
    return isWanted ? undefined : "unwanted";
  }

  /**
   * Stops a run, and repeats the order until it is confirmed, however long that
   * takes. When the condition no longer holds the order is not repeated; the
   * endpoint's lists then show whether an earlier attempt was carried out.
   */
  async stop(
    session: EndpointSession,
    run: Run,
    reason: string,
    condition: StopCondition = unconditional,
  ): Promise<void> {
    if (run.phase === "stopping" || run.phase === "intended") return;
    this.#setPhase(run, "stopping");
    logRunDecision(
      this.deps,
      "task-stopped",
      session,
      run,
      reason,
      condition.logFields,
    );
    const { clock } = this.deps;
    const decidedAt = clock.now();
    let attempts = 0;
    while (session.runs.get(run.name) === run && !session.closed) {
      if (!condition.isMet()) return this.#withdrawStop(session, run, reason);
      attempts++;
      if (await this.#sendStop(session, run)) break;
      await delay(clock, stopRetryPauseMs);
    }
    if (attempts > 1 && run.stoppedAt !== undefined) {
      const afterMs = Math.round(run.stoppedAt - decidedAt);
      const logFields = { attempts, afterMs };
      logRunDecision(
        this.deps,
        "stop-delayed",
        session,
        run,
        reason,
        logFields,
      );
    }
  }

  /** Sends one stop order; returns false when it has to be repeated. */
  async #sendStop(session: EndpointSession, run: Run): Promise<boolean> {
    const { orders, lease, clock } = this.deps;
    const outcome = await orders.stop(session.endpoint, {
      term: lease.term,
      task: run.name,
      run: run.run,
    });
    if (this.control.isStopped) return true;
    if (outcome.kind === "done") {
      run.stoppedAt = clock.now();
      this.control.holdNow(session);
      return true;
    }
    if (outcome.kind !== "rejected") return false;
    if (outcome.reason === "fenced") this.deps.onOwnerFenced();
    else if (outcome.reason === "other-life" && session.hasAnswered) {
      this.control.endSession(session, outcome.reason);
    } else return false;
    return true;
  }

  /**
   * Gives up a stop; an attempt without an answer may still have stopped the
   * run.
   */
  #withdrawStop(session: EndpointSession, run: Run, reason: string): void {
    this.#setPhase(run, "doubtful");
    logRunDecision(this.deps, "stop-withdrawn", session, run, reason);
    this.control.holdNow(session);
  }

  /**
   * Makes an endpoint refuse a start whose order may still arrive: sends a stop
   * of its run, until it is confirmed or the order can't arrive any more.
   */
  async refuseStart(
    session: EndpointSession,
    { task, run, arrivesBy }: SettledStart,
  ): Promise<void> {
    const { clock } = this.deps;
    while (!this.control.isStopped && !session.closed) {
      if (clock.now() > arrivesBy) return;
      const outcome = await this.stopForeignRun(session, task, run);
      if (outcome === "done") return;
      await delay(clock, stopRetryPauseMs);
    }
  }

  /**
   * Stops a run that is not tracked by this owner: one that an endpoint lists, or
   * may be about to start. Returns the kind of the outcome.
   */
  async stopForeignRun(
    session: EndpointSession,
    task: string,
    run: number,
  ): Promise<OrderOutcome["kind"]> {
    const { orders, lease, log, shard } = this.deps;
    const { id, life } = session.endpoint;
    const trackedRun = session.runs.get(task)?.run;
    const outcome = await orders.stop(session.endpoint, {
      term: lease.term,
      task,
      run,
    });
    log.decision("foreign-run-stopped", {
      shard,
      term: lease.term,
      task,
      run,
      endpoint: id,
      life,
      trackedRun,
      outcome: outcome.kind,
    });
    return outcome.kind;
  }

  /**
   * Adjusts the pace of the filler tasks of an endpoint to the load of the
   * other tasks there.
   */
  adjustFillerPace(session: EndpointSession): void {
    const { orders, lease } = this.deps;
    for (const { run, percent } of computePaceChanges(session.runs.values())) {
      if (run.phase !== "running") continue;
      run.pace = percent;
      logRunDecision(this.deps, "task-paced", session, run, `${percent}%`);
      orders.pace(session.endpoint, {
        term: lease.term,
        task: run.name,
        run: run.run,
        percent,
      }).then((outcome) => {
        // Marks the pace as unknown, so that the next adjustment sets it again.
        if (outcome.kind !== "done") run.pace = -1;
      });
    }
  }

  /**
   * Sets the phase unless the run was listed or stopped while its start was in
   * flight.
   */
  #resolveStart(run: Run, phase: RunPhase): void {
    if (run.phase === "starting") this.#setPhase(run, phase);
  }

  /**
   * Ends a rejected run, and delays further starts where the reason asks for
   * it.
   */
  #handleStartRejection(
    session: EndpointSession,
    run: Run,
    reason: Rejection,
  ): void {
    const now = this.deps.clock.now();
    if (reason === "fenced") {
      this.deps.onOwnerFenced();
      return;
    }
    if (reason === "no-room") session.noStartUntil = now + rejectionPauseMs;
    if (reason === "no-ticket") this.deps.onTicketRejected(run, session);
    if (reason === "unreachable") session.noStartUntil = now + unreachableMs;
    if (reason === "unhealthy") {
      session.failures = withFailure(session.failures, run.job, now);
      session.noStartUntil = now + rejectionPauseMs;
    }
    this.control.finishRun(session, run, "not-started", reason);
    if (reason === "other-life" && session.hasAnswered) {
      this.control.endSession(session, reason);
    }
  }

  #setPhase(run: Run, phase: RunPhase): void {
    setPhase(run, phase, this.deps.clock.now());
  }
}
