/**
 * Looks after runs that go wrong or are in the way: stops those that stand
 * still, and moves long-running tasks off endpoints that are about to leave.
 */
import { isFinal } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import type { RowKey, RowPut } from "../store/index.ts";
import { isHeard, reviewStep, type StepAvailability } from "./availability.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { EndpointDriver } from "./endpoint_driver.ts";
import type { EndpointSession, Run } from "./endpoint_session.ts";
import type { BookedJob, JobBook } from "./job_book.ts";
import type { RunOrders } from "./run_orders.ts";
import { isStalled } from "./stall.ts";
import { vacatedKey, type VacateState } from "../upkeep/index.ts";
import { afterFailure } from "./suspicion.ts";

/** Time that short tasks get to end before maintenance, in ms. */
const shortTaskGraceMs = 5_000;

/** What the caretaker asks of a shard's drivers. */
export interface SupervisorDriver
  extends Pick<EndpointDriver, "sessions" | "session" | "endIncarnation"> {
  readonly runs: Pick<RunOrders, "stop">;
}

/** What the caretaker works with. */
export interface RunSupervisorParts {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly jobs: JobBook;
  readonly driver: SupervisorDriver;
  readonly vacating: () => ReadonlyMap<string, VacateState>;
  /** Writes a row with the shard's next commit. */
  readonly putRow: (row: RowPut) => void;
  /** Removes a row with the shard's next commit. */
  readonly removeRow: (row: RowKey) => void;
}

/** Looks after the runs of one shard. */
export class RunSupervisor {
  readonly #reportedVacated = new Set<string>();
  /** Steady time since which an endpoint is being emptied. */
  readonly #vacatingSince = new Map<string, number>();
  /** Other tasks that were away when a run was last told to stay. */
  readonly #loggedAway = new WeakMap<Run, number>();

  constructor(private readonly parts: RunSupervisorParts) {}

  /** One pass over all runs. */
  pass(): void {
    const vacating = this.parts.vacating();
    for (const session of this.parts.driver.sessions()) {
      const { id } = session.endpoint;
      if (vacating.get(id) === "down") {
        this.parts.driver.endIncarnation(id, "host taken down");
        continue;
      }
      this.#stopStalled(session);
      if (this.#isLeaving(session)) this.#evictLongRunning(session);
      if (vacating.has(id)) this.#reportVacated(session);
    }
    for (const id of this.#vacatingSince.keys()) {
      if (!vacating.has(id)) this.#vacatingSince.delete(id);
    }
    for (const id of this.#reportedVacated) {
      if (vacating.has(id)) continue;
      this.#reportedVacated.delete(id);
      this.parts.removeRow(vacatedKey(this.parts.shard, id));
    }
  }

  #stopStalled(session: EndpointSession): void {
    const now = this.parts.clock.now();
    for (const run of session.runs.values()) {
      if (run.phase !== "running") continue;
      const job = this.parts.jobs.jobs.get(run.job);
      if (job === undefined || isFinal(job.progress.phase)) {
        this.parts.driver.runs.stop(session, run, "job is final");
        continue;
      }
      if (!isStalled(session, run, now)) continue;
      this.parts.jobs.recordFailure(job, run.ref, session.endpoint.id);
      session.suspicion = afterFailure(session.suspicion, run.job, now);
      const { progressedAt } = run;
      this.parts.driver.runs.stop(session, run, "no progress", {
        logFields: { newsMs: this.#listsAgeMs(session) },
        isMet: () =>
          run.progressedAt === progressedAt &&
          isHeard(session, this.parts.clock.now()),
      });
    }
  }

  #isLeaving({ endpoint }: EndpointSession): boolean {
    return endpoint.draining || this.parts.vacating().has(endpoint.id);
  }

  /** Endpoints that are not heard of can't be moved away from. */
  #evictLongRunning(session: EndpointSession): void {
    if (!isHeard(session, this.parts.clock.now())) return;
    for (const run of session.runs.values()) {
      if (run.phase !== "running" || !run.step.longRunning) continue;
      const job = this.parts.jobs.jobs.get(run.job);
      if (job === undefined) continue;
      const step = this.#reviewStep(job, run);
      if (!step.allows) {
        this.#logKept(session, run, step);
        continue;
      }
      this.parts.driver.runs.stop(session, run, "endpoint leaves", {
        logFields: { away: step.away, newsMs: this.#listsAgeMs(session) },
        isMet: () =>
          this.#isLeaving(session) &&
          isHeard(session, this.parts.clock.now()) &&
          this.#reviewStep(job, run).allows,
      });
    }
  }

  #reviewStep(job: BookedJob, run: Run): StepAvailability {
    const { driver, clock } = this.parts;
    return reviewStep(job, run, (id) => driver.session(id), clock.now());
  }

  /** Age of what the endpoint told last, in whole ms. */
  #listsAgeMs(session: EndpointSession): number {
    return Math.round(session.newsAge(this.parts.clock.now()));
  }

  /** Tells once that a task stays for want of a budget. */
  #logKept(session: EndpointSession, run: Run, step: StepAvailability): void {
    if (this.#loggedAway.get(run) === step.away) return;
    this.#loggedAway.set(run, step.away);
    this.parts.log.decision("task-kept", {
      shard: this.parts.shard,
      job: run.job,
      task: run.name,
      run: run.run,
      endpoint: session.endpoint.id,
      away: step.away,
      maxUnavailable: run.step.maxUnavailable,
      newsMs: this.#listsAgeMs(session),
    });
  }

  /**
   * Reports an endpoint that is empty, or whose short tasks take too long; a
   * long-running task is never given up to maintenance.
   */
  #reportVacated(session: EndpointSession): void {
    const { id } = session.endpoint;
    if (this.#reportedVacated.has(id)) return;
    const now = this.parts.clock.now();
    const since = this.#vacatingSince.get(id) ?? now;
    this.#vacatingSince.set(id, since);
    const hasLongRunning = [...session.runs.values()].some((r) =>
      r.step.longRunning
    );
    const graceElapsed = now - since > shortTaskGraceMs && !hasLongRunning;
    if (session.runs.size > 0 && !graceElapsed) return;
    this.#reportedVacated.add(id);
    const key = vacatedKey(this.parts.shard, id);
    this.parts.putRow({ ...key, value: "{}" });
  }
}
