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
const shortTasksMs = 5_000;

/** What the caretaker asks of a shard's drivers. */
export interface CareDriver
  extends Pick<EndpointDriver, "sessions" | "session" | "endLife"> {
  readonly runs: Pick<RunOrders, "stop">;
}

/** What the caretaker works with. */
export interface CareParts {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly book: JobBook;
  readonly driver: CareDriver;
  readonly vacating: () => ReadonlyMap<string, VacateState>;
  /** Writes a row with the shard's next commit. */
  readonly report: (row: RowPut) => void;
  /** Removes a row with the shard's next commit. */
  readonly retract: (row: RowKey) => void;
}

/** Looks after the runs of one shard. */
export class Caretaker {
  readonly #reported = new Set<string>();
  /** Steady time since which an endpoint is being emptied. */
  readonly #leavingSince = new Map<string, number>();
  /** Other tasks that were away when a run was last told to stay. */
  readonly #kept = new WeakMap<Run, number>();

  constructor(private readonly parts: CareParts) {}

  /** One pass over all runs. */
  pass(): void {
    const vacating = this.parts.vacating();
    for (const session of this.parts.driver.sessions()) {
      const { id } = session.endpoint;
      if (vacating.get(id) === "down") {
        this.parts.driver.endLife(id, "host taken down");
        continue;
      }
      this.#stopStalled(session);
      if (this.#isLeaving(session)) this.#moveAway(session);
      if (vacating.has(id)) this.#reportVacated(session);
    }
    for (const id of this.#leavingSince.keys()) {
      if (!vacating.has(id)) this.#leavingSince.delete(id);
    }
    for (const id of this.#reported) {
      if (vacating.has(id)) continue;
      this.#reported.delete(id);
      this.parts.retract(vacatedKey(this.parts.shard, id));
    }
  }

  #stopStalled(session: EndpointSession): void {
    const now = this.parts.clock.now();
    for (const run of session.runs.values()) {
      if (run.phase !== "running") continue;
      const job = this.parts.book.jobs.get(run.job);
      if (job === undefined || isFinal(job.progress.phase)) {
        this.parts.driver.runs.stop(session, run, "job is final");
        continue;
      }
      if (!isStalled(session, run, now)) continue;
      this.parts.book.noteFailure(job, run.ref, session.endpoint.id);
      session.suspicion = afterFailure(session.suspicion, run.job, now);
      const { progressedAt } = run;
      this.parts.driver.runs.stop(session, run, "no progress", {
        basis: { newsMs: this.#newsMs(session) },
        isDue: () =>
          run.progressedAt === progressedAt &&
          isHeard(session, this.parts.clock.now()),
      });
    }
  }

  #isLeaving({ endpoint }: EndpointSession): boolean {
    return endpoint.draining || this.parts.vacating().has(endpoint.id);
  }

  /** Endpoints that are not heard of can't be moved away from. */
  #moveAway(session: EndpointSession): void {
    if (!isHeard(session, this.parts.clock.now())) return;
    for (const run of session.runs.values()) {
      if (run.phase !== "running" || !run.step.longRunning) continue;
      const job = this.parts.book.jobs.get(run.job);
      if (job === undefined) continue;
      const step = this.#review(job, run);
      if (!step.allows) {
        this.#tellKept(session, run, step);
        continue;
      }
      this.parts.driver.runs.stop(session, run, "endpoint leaves", {
        basis: { away: step.away, newsMs: this.#newsMs(session) },
        isDue: () =>
          this.#isLeaving(session) &&
          isHeard(session, this.parts.clock.now()) &&
          this.#review(job, run).allows,
      });
    }
  }

  #review(job: BookedJob, run: Run): StepAvailability {
    const { driver, clock } = this.parts;
    return reviewStep(job, run, (id) => driver.session(id), clock.now());
  }

  /** Age of what the endpoint told last, in whole ms. */
  #newsMs(session: EndpointSession): number {
    return Math.round(session.newsAge(this.parts.clock.now()));
  }

  /** Tells once that a task stays for want of a budget. */
  #tellKept(session: EndpointSession, run: Run, step: StepAvailability): void {
    if (this.#kept.get(run) === step.away) return;
    this.#kept.set(run, step.away);
    this.parts.log.decision("task-kept", {
      shard: this.parts.shard,
      job: run.job,
      task: run.name,
      run: run.run,
      endpoint: session.endpoint.id,
      away: step.away,
      maxUnavailable: run.step.maxUnavailable,
      newsMs: this.#newsMs(session),
    });
  }

  /**
   * Reports an endpoint that is empty, or whose short tasks take too long; a
   * long-running task is never given up to maintenance.
   */
  #reportVacated(session: EndpointSession): void {
    const { id } = session.endpoint;
    if (this.#reported.has(id)) return;
    const now = this.parts.clock.now();
    const since = this.#leavingSince.get(id) ?? now;
    this.#leavingSince.set(id, since);
    const lasts = [...session.runs.values()].some((r) => r.step.longRunning);
    const waited = now - since > shortTasksMs && !lasts;
    if (session.runs.size > 0 && !waited) return;
    this.#reported.add(id);
    const key = vacatedKey(this.parts.shard, id);
    this.parts.report({ ...key, value: "{}" });
  }
}
