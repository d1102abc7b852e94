/** Starts, stops and paces single runs, and settles what had no answer. */
import { delay } from "../clock/index.ts";
import type { Rejection } from "../endpoint/index.ts";
import type { DecisionFields } from "./decision_log.ts";
import {
  type DriverParts,
  logRun,
  type SessionControl,
  setPhase,
} from "./driver_parts.ts";
import type { EndpointSession, Run, RunPhase } from "./endpoint_session.ts";
import { paceRuns } from "./pace.ts";
import { afterFailure } from "./suspicion.ts";

/** Pause before a stop without an answer is sent again, in ms. */
const stopRetryMs = 250;

/** Age of the owner's last commit from which it starts nothing, in ms. */
const startFreshnessMs = 2_000;

/** Time for which an endpoint that had no room gets no task, in ms. */
const noRoomMs = 150;

/** Time for which an endpoint that could not be reached gets no task, in ms. */
const unreachableMs = 1_000;

/** Why a run may be stopped. */
export interface StopGrounds {
  /** What the stop was decided by, for the log. */
  readonly basis: DecisionFields;
  /** Whether it is still due; asked anew before each attempt. */
  readonly isDue: () => boolean;
}

const unconditional: StopGrounds = { basis: {}, isDue: () => true };

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
    const leaseUntil = session.askLease(clock.now());
    const fresh = lease.ageMs < startFreshnessMs;
    const wanted = this.parts.mayStart(run);
    if (!fresh || !wanted || session.closed || leaseUntil === undefined) {
      const reason = fresh ? "unwanted" : "stale";
      this.control.finish(session, run, "not-started", reason);
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
      this.parts.begun(run);
      this.#settleStart(run, "running");
      if (!this.parts.mayStart(run)) this.stop(session, run, "unwanted");
    } else if (outcome.kind === "rejected") {
      this.#startRejected(session, run, outcome.reason);
    } else {
      logRun(this.parts, "start-unknown", session, run, outcome.message);
      this.#settleStart(run, "doubtful");
    }
    this.control.wake(session);
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
    grounds: StopGrounds = unconditional,
  ): Promise<void> {
    if (run.phase === "stopping" || run.phase === "intended") return;
    this.#setPhase(run, "stopping");
    logRun(this.parts, "task-stopped", session, run, reason, grounds.basis);
    const { clock } = this.parts;
    const decidedAt = clock.now();
    let attempts = 0;
    while (session.runs.get(run.name) === run && !session.closed) {
      if (!grounds.isDue()) return this.#withdrawStop(session, run, reason);
      attempts++;
      if (await this.#tryStop(session, run)) break;
      await delay(clock, stopRetryMs);
    }
    if (attempts > 1 && run.stoppedAt !== undefined) {
      const afterMs = Math.round(run.stoppedAt - decidedAt);
      const delayed = { attempts, afterMs };
      logRun(this.parts, "stop-delayed", session, run, reason, delayed);
    }
  }

  /** One attempt of a stop; false when it has to be made again. */
  async #tryStop(session: EndpointSession, run: Run): Promise<boolean> {
    const { orders, lease, clock } = this.parts;
    const outcome = await orders.stop(session.endpoint, {
      term: lease.term,
      task: run.name,
      run: run.run,
    });
    if (this.control.isStopped) return true;
    if (outcome.kind === "done") {
      run.stoppedAt = clock.now();
      this.control.wake(session);
      return true;
    }
    if (outcome.kind !== "rejected") return false;
    if (outcome.reason === "fenced") this.parts.fenced();
    else if (outcome.reason === "other-life") {
      this.control.close(session, outcome.reason);
    } else return false;
    return true;
  }

  /** An attempt without an answer may have stopped the run all the same. */
  #withdrawStop(session: EndpointSession, run: Run, reason: string): void {
    this.#setPhase(run, "doubtful");
    logRun(this.parts, "stop-withdrawn", session, run, reason);
    this.control.wake(session);
  }

  /** Stops a run that nobody here asked for. */
  async stopForeign(
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
  paceFillers(session: EndpointSession): void {
    const { orders, lease } = this.parts;
    for (const { run, percent } of paceRuns(session.runs.values())) {
      if (run.phase !== "running") continue;
      run.pace = percent;
      logRun(this.parts, "task-paced", session, run, `${percent}%`);
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
    if (reason === "no-ticket") this.parts.ticketRejected(run, session);
    if (reason === "unreachable") session.fullUntil = now + unreachableMs;
    if (reason === "unhealthy") {
      session.suspicion = afterFailure(session.suspicion, run.job, now);
      session.fullUntil = now + noRoomMs;
    }
    this.control.finish(session, run, "not-started", reason);
    if (reason === "other-life") this.control.close(session, reason);
  }

  #setPhase(run: Run, phase: RunPhase): void {
    setPhase(run, phase, this.parts.clock.now());
  }
}
