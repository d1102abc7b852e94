/**
 * Supervises the runs of one shard: stops runs that make no progress, evicts
 * long-running tasks from endpoints that are draining or vacated for
 * maintenance, and reports when an endpoint is ready for maintenance.
 */
import { isFinal, type StepRef } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import type { RowPut, StoreRowKey } from "../store/index.ts";
import {
  checkAvailability,
  isUpToDate,
  type StepAvailability,
} from "./availability.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import {
  type EndpointDriver,
  type EndpointSession,
  type Run,
  withFailure,
} from "../sessions/index.ts";
import type { JobRegistry, TrackedJob } from "../shard_jobs/index.ts";
import type { RunOrders } from "./run_orders.ts";
import { hasOtherProgress, isStalled } from "./stall.ts";
import { vacatedKey, type VacateState } from "../upkeep/index.ts";

/**
 * Time that tasks other than long-running ones get to end before an endpoint is
 * reported as vacated, in ms.
 */
const shortTaskGraceMs = 5_000;

/** The part of {@link EndpointDriver} that the supervisor uses. */
export interface SupervisorDriver
  extends Pick<EndpointDriver, "sessions" | "session" | "endIncarnation"> {
  readonly runOrders: Pick<RunOrders, "stop">;
}

/** Dependencies of a {@link RunSupervisor}. */
export interface RunSupervisorDependencies {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly jobs: JobRegistry;
  readonly driver: SupervisorDriver;
  /** Endpoints to be vacated for the maintenance of their host, by id. */
  readonly vacating: () => ReadonlyMap<string, VacateState>;
  /** Ids of the endpoints that are to be vacated later in a wave. */
  readonly plannedVacates: () => ReadonlySet<string>;
  /**
   * Whether a task of a step could move now to an endpoint that is not to be
   * vacated later.
   */
  readonly hasRoomToStay: (job: TrackedJob, ref: StepRef) => boolean;
  /** Writes a row in the shard's next commit. */
  readonly putRow: (row: RowPut) => void;
  /** Removes a row in the shard's next commit. */
  readonly removeRow: (row: StoreRowKey) => void;
}

/** Supervises the runs of one shard; {@link pass} is called periodically. */
export class RunSupervisor {
  /** Ids of endpoints that are reported as vacated. */
  readonly #reportedVacated = new Set<string>();
  /** Monotonic time in ms since which each endpoint is being vacated. */
  readonly #vacatingSince = new Map<string, number>();
  /**
   * Number of unavailable tasks in the last `task-kept` decision of each run;
   * the decision is logged again only when the number changes.
   */
  readonly #loggedUnavailable = new WeakMap<Run, number>();

  constructor(private readonly deps: RunSupervisorDependencies) {}

  /**
   * Checks all runs once, and updates the rows that report vacated endpoints.
   */
  pass(): void {
    const vacating = this.deps.vacating();
    for (const session of this.deps.driver.sessions()) {
      const { id } = session.endpoint;
      if (vacating.get(id) === "down") {
        this.deps.driver.endIncarnation(id, "host taken down");
        continue;
      }
      this.#stopStalled(session);
      if (this.#isLeaving(session) || this.#awaitsVacate(session)) {
        this.#evictLongRunning(session);
      }
      if (vacating.has(id)) this.#reportVacated(session);
    }
    for (const id of this.#vacatingSince.keys()) {
      if (!vacating.has(id)) this.#vacatingSince.delete(id);
    }
    for (const id of this.#reportedVacated) {
      if (vacating.has(id)) continue;
      this.#reportedVacated.delete(id);
      this.deps.removeRow(vacatedKey(this.deps.shard, id));
    }
  }

  /** Stops the runs that make no progress or whose job is final. */
  #stopStalled(session: EndpointSession): void {
    const now = this.deps.clock.now();
    for (const run of session.runs.values()) {
      if (run.phase !== "running") continue;
      const job = this.deps.jobs.byId.get(run.job);
      if (job === undefined || isFinal(job.progress.phase)) {
        this.deps.driver.runOrders.stop(session, run, "job is final");
        continue;
      }
      const earlierStalls = job.stalls.get(run.name) ?? 0;
      if (!isStalled(session, run, now, earlierStalls)) continue;
      this.deps.jobs.recordStall(job, run.ref, session.endpoint.id);
      if (!hasOtherProgress(session, run)) {
        session.failures = withFailure(session.failures, run.job, now);
      }
      const { progressedAt } = run;
      this.deps.driver.runOrders.stop(session, run, "no progress", {
        logFields: { newsMs: this.#listsAgeMs(session), earlierStalls },
        isMet: () =>
          run.progressedAt === progressedAt &&
          isUpToDate(session, this.deps.clock.now()),
      });
    }
  }

  /** Whether an endpoint is draining or being vacated. */
  #isLeaving({ endpoint }: EndpointSession): boolean {
    return endpoint.draining || this.deps.vacating().has(endpoint.id);
  }

  /** Whether an endpoint is to be vacated later in a wave. */
  #awaitsVacate({ endpoint }: EndpointSession): boolean {
    return this.deps.plannedVacates().has(endpoint.id);
  }

  /**
   * Whether a long-running task should leave its endpoint now. Tasks with an
   * availability budget leave ahead of the host's turn in a wave where there is
   * room elsewhere, because they move one after another.
   */
  #shouldLeave(session: EndpointSession, job: TrackedJob, run: Run): boolean {
    if (this.#isLeaving(session)) return true;
    return run.step.maxUnavailable !== undefined &&
      this.#awaitsVacate(session) && this.deps.hasRoomToStay(job, run.ref);
  }

  /**
   * Stops the long-running tasks of an endpoint, as far as the availability
   * budget of their step allows, so that they are placed elsewhere. Skips an
   * endpoint without recent lists, because it is not known when a stop would
   * reach it.
   */
  #evictLongRunning(session: EndpointSession): void {
    if (!isUpToDate(session, this.deps.clock.now())) return;
    for (const run of session.runs.values()) {
      if (run.phase !== "running" || !run.step.longRunning) continue;
      const job = this.deps.jobs.byId.get(run.job);
      if (job === undefined) continue;
      const availability = this.#checkStep(job, run);
      if (!availability.allowsInterruption) {
        this.#logKept(session, run, availability);
        continue;
      }
      if (!this.#shouldLeave(session, job, run)) continue;
      this.deps.driver.runOrders.stop(session, run, "endpoint leaves", {
        logFields: {
          away: availability.unavailable,
          newsMs: this.#listsAgeMs(session),
          aheadOfTurn: !this.#isLeaving(session),
        },
        isMet: () =>
          this.#shouldLeave(session, job, run) &&
          isUpToDate(session, this.deps.clock.now()) &&
          this.#checkStep(job, run).allowsInterruption,
      });
    }
  }

  /** Checks the availability of a run's step without the run itself. */
  #checkStep(job: TrackedJob, run: Run): StepAvailability {
    const { driver, clock } = this.deps;
    return checkAvailability(job, run, (id) => driver.session(id), clock.now());
  }

  /** Age of the endpoint's last task lists, in whole ms. */
  #listsAgeMs(session: EndpointSession): number {
    return Math.round(session.listsAge(this.deps.clock.now()));
  }

  /** Logs that a task stays because its availability budget is used up. */
  #logKept(
    session: EndpointSession,
    run: Run,
    availability: StepAvailability,
  ): void {
    if (this.#loggedUnavailable.get(run) === availability.unavailable) return;
    this.#loggedUnavailable.set(run, availability.unavailable);
    this.deps.log.decision("task-kept", {
      shard: this.deps.shard,
      job: run.job,
      task: run.name,
      run: run.run,
      endpoint: session.endpoint.id,
      away: availability.unavailable,
      maxUnavailable: run.step.maxUnavailable,
      newsMs: this.#listsAgeMs(session),
    });
  }

  /**
   * Reports an endpoint as vacated once it has no runs, or once the grace
   * period of its tasks has passed. An endpoint with a long-running task is not
   * reported, because maintenance must not interrupt such a task before it has
   * been moved.
   */
  #reportVacated(session: EndpointSession): void {
    const { id } = session.endpoint;
    if (this.#reportedVacated.has(id)) return;
    const now = this.deps.clock.now();
    const since = this.#vacatingSince.get(id) ?? now;
    this.#vacatingSince.set(id, since);
    const hasLongRunning = [...session.runs.values()].some((r) =>
      r.step.longRunning
    );
    const graceElapsed = now - since > shortTaskGraceMs && !hasLongRunning;
    if (session.runs.size > 0 && !graceElapsed) return;
    this.#reportedVacated.add(id);
    const key = vacatedKey(this.deps.shard, id);
    this.deps.putRow({ ...key, value: "{}" });
  }
}
