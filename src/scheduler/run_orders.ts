/** Starts, stops and paces single runs, and settles what had no answer. */
import { delay } from "../clock/index.ts";
import type { Rejection } from "../endpoint/index.ts";
import type { DecisionFields } from "./decision_log.ts";
import {
  type DriverParts,
  logRunDecision,
  type SessionControl,
  setPhase,
} from "./driver_parts.ts";
import type { EndpointSession, Run, RunPhase } from "./endpoint_session.ts";
import { paceRuns } from "./pace.ts";
import { afterFailure } from "./suspicion.ts";

/** Pause before a stop without an answer is sent again, in ms. */
const stopRetryPauseMs = 250;

/** Age of the owner's last commit from which it starts nothing, in ms. */
const maxCommitAgeForStartMs = 2_000;

/** Time for which an endpoint that had no room gets no task, in ms. */
const noRoomMs = 150;

/** Time for which an endpoint that could not be reached gets no task, in ms. */
const unreachableMs = 1_000;

/** Why a run may be stopped. */
export interface StopCondition {
  /** What the stop was decided by, for the log. */
  readonly logFields: DecisionFields;
  /** Whether it is still due; asked anew before each attempt. */
  readonly isMet: () => boolean;
}

const unconditional: StopCondition = { logFields: {}, isMet: () => true };

/** Sends the orders about single runs. */
export class RunOrders {
  constructor(
    private readonly parts: DriverParts,
    private readonly control: SessionControl,
  ) {}

  /** Sends the start of a run whose intent is committed. */
  async start(session: EndpointSession, run: Run): Promise<void> {
    const { lease, clock, orders } = this.parts;
    if (this.control.isStopped || run.phase !== "intended") return;
    const leaseUntil = session.nextLeaseUntil(clock.now());
    const isLeaseFresh = lease.ageMs < maxCommitAgeForStartMs;
    const isWanted = this.parts.mayStart(run);
    if (
      !isLeaseFresh || !isWanted || session.closed || leaseUntil === undefined
    ) {
      const reason = isLeaseFresh ? "unwanted" : "stale";
      this.control.finishRun(session, run, "not-started", reason);
      return;
    }
    this.#setPhase(run, "starting");
    run.progressedAt = clock.now();
    if (run.checkpoint === "") run.begunAt = run.progressedAt;
    const outcome = await orders.start(session.endpoint, {
      term: lease.term,
      task: run.name,
      run: run.run,
      payload: run.payload,
      leaseUntil,
      checkpoint: run.checkpoint,
      ticket: run.ticket,
    });
    if (this.control.isStopped || session.runs.get(run.name) !== run) return;
    if (outcome.kind === "done") {
      this.parts.runConfirmed(run);
      this.#resolveStart(run, "running");
      if (!this.parts.mayStart(run)) this.stop(session, run, "unwanted");
    } else if (outcome.kind === "rejected") {
      this.#handleStartRejection(session, run, outcome.reason);
    } else {
      logRunDecision(
        this.parts,
        "start-unknown",
        session,
        run,
        outcome.message,
      );
      this.#resolveStart(run, "doubtful");
    }
    this.control.holdNow(session);
  }

  /**
   * Stops a run and settles it, however long that takes. A stop that is no
   * longer due is not sent again; the lists then tell whether it was carried
   * out.
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
      this.parts,
      "task-stopped",
      session,
      run,
      reason,
      condition.logFields,
    );
    const { clock } = this.parts;
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
      const delayed = { attempts, afterMs };
      logRunDecision(this.parts, "stop-delayed", session, run, reason, delayed);
    }
  }

  /** One attempt of a stop; false when it has to be made again. */
  async #sendStop(session: EndpointSession, run: Run): Promise<boolean> {
    const { orders, lease, clock } = this.parts;
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
    if (outcome.reason === "fenced") this.parts.ownerFenced();
    else if (outcome.reason === "other-life") {
      this.control.endSession(session, outcome.reason);
    } else return false;
    return true;
  }

  /** An attempt without an answer may have stopped the run all the same. */
  #withdrawStop(session: EndpointSession, run: Run, reason: string): void {
    this.#setPhase(run, "doubtful");
    logRunDecision(this.parts, "stop-withdrawn", session, run, reason);
    this.control.holdNow(session);
  }

  /** Stops a run that nobody here asked for. */
  async stopForeignRun(
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

  /** Adjusts the pace of fillers to the load of those beside them. */
  adjustFillerPace(session: EndpointSession): void {
    const { orders, lease } = this.parts;
    for (const { run, percent } of paceRuns(session.runs.values())) {
      if (run.phase !== "running") continue;
      run.pace = percent;
      logRunDecision(this.parts, "task-paced", session, run, `${percent}%`);
      orders.pace(session.endpoint, {
        term: lease.term,
        task: run.name,
        run: run.run,
        percent,
      }).then((outcome) => {
        // A pace that is not known is set again.
        if (outcome.kind !== "done") run.pace = -1;
      });
    }
  }

  /** Unless the run was listed or stopped while its start was on its way. */
  #resolveStart(run: Run, phase: RunPhase): void {
    if (run.phase === "starting") this.#setPhase(run, phase);
  }

  #handleStartRejection(
    session: EndpointSession,
    run: Run,
    reason: Rejection,
  ): void {
    const now = this.parts.clock.now();
    if (reason === "fenced") {
      this.parts.ownerFenced();
      return;
    }
    if (reason === "no-room") session.fullUntil = now + noRoomMs;
    if (reason === "no-ticket") this.parts.ticketRejected(run, session);
    if (reason === "unreachable") session.fullUntil = now + unreachableMs;
    if (reason === "unhealthy") {
      session.suspicion = afterFailure(session.suspicion, run.job, now);
      session.fullUntil = now + noRoomMs;
    }
    this.control.finishRun(session, run, "not-started", reason);
    if (reason === "other-life") this.control.endSession(session, reason);
  }

  #setPhase(run: Run, phase: RunPhase): void {
    setPhase(run, phase, this.parts.clock.now());
  }
}
