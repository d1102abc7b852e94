/**
 * Runs the placement passes of one shard: decides which tasks start on which
 * endpoints, records the intended runs, and sends the start orders once these
 * are committed.
 */
import {
  nextRunNumber,
  placeTask,
  startCheckpoint,
  type StepRef,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import type { PoolAllowances, StartBudget } from "../allowances/index.ts";
import type { HostOffers } from "../capacity/index.ts";
import type { CatalogHolder } from "../catalog/index.ts";
import type { Clock } from "../clock/index.ts";
import type { ShardLease } from "../cluster/index.ts";
import type { VacateState } from "../upkeep/index.ts";
import type { AdvisedSteps } from "./advised_steps.ts";
import type { CommitQueue } from "../scheduler/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import { type EndpointDriver, usageOf } from "../sessions/index.ts";
import type { JobRegistry, TrackedJob } from "../shard_jobs/index.ts";
import {
  type EndpointPolicy,
  hasRoomToStay,
  type PlannedTask,
  planStarts,
} from "./planner.ts";
import {
  DeferredJobs,
  type LoadDecision,
  OverdueJobs,
  type PoolLoad,
} from "../queueing/index.ts";
import type { RunTimes } from "../runs/index.ts";

/** Dependencies of a {@link Placer}. */
export interface PlacerDependencies {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly catalog: Pick<CatalogHolder, "current">;
  readonly lease: ShardLease;
  readonly jobs: JobRegistry;
  readonly commits: CommitQueue;
  readonly driver: EndpointDriver;
  readonly offers: HostOffers;
  readonly advisedSteps: AdvisedSteps;
  readonly runTimes: RunTimes;
  /** What may start of limited workspaces. */
  readonly allowances: PoolAllowances;
  /** Endpoints to be vacated for the maintenance of their host, by id. */
  readonly vacating: () => ReadonlyMap<string, VacateState>;
  /** Ids of the endpoints that are to be vacated later in a wave. */
  readonly plannedVacates: () => ReadonlySet<string>;
}

/** Places the waiting tasks of one shard. */
export class Placer {
  readonly #deferredJobs: DeferredJobs;
  readonly #overdueJobs = new OverdueJobs();

  constructor(private readonly deps: PlacerDependencies) {
    this.#deferredJobs = new DeferredJobs(deps);
  }

  /** The load of the pool as last planned. */
  get load(): PoolLoad {
    return this.#deferredJobs.load;
  }

  /** Runs one placement pass over the jobs that may have waiting tasks. */
  runPass(jobs: readonly TrackedJob[]): void {
    const { driver, advisedSteps } = this.deps;
    const policy = this.#policy();
    const decisions = this.#deferredJobs.current(jobs, driver.sessions());
    const budget = this.deps.allowances.startBudget();
    this.#placeTasks(jobs, policy, decisions, budget);
    this.#placeOverdueTasks(jobs, decisions, budget);
    this.deps.allowances.concludePass(budget);
    advisedSteps.refresh(jobs, driver.sessions(), policy.isClosed);
  }

  /**
   * Whether a long-running task of a step could move now to an endpoint that it
   * would not have to leave for maintenance.
   */
  hasRoomToStay(job: TrackedJob, ref: StepRef): boolean {
    const { driver, clock } = this.deps;
    const policy = this.#policy();
    return hasRoomToStay(job, ref, driver.sessions(), policy, clock.now());
  }

  /** Places tasks of overdue jobs on endpoints that are closing. */
  #placeOverdueTasks(
    jobs: readonly TrackedJob[],
    decisions: ReadonlyMap<string, LoadDecision>,
    budget: StartBudget,
  ): void {
    const { clock, driver, offers } = this.deps;
    const usage = usageOf(driver.sessions());
    const overdue = this.#overdueJobs.select(jobs, usage, clock.now());
    if (overdue.length === 0 || offers.closingCount === 0) return;
    this.#placeTasks(overdue, this.#policyForOverdue(), decisions, budget);
  }

  /** Places the waiting tasks of some jobs, as far as policy allows. */
  #placeTasks(
    jobs: readonly TrackedJob[],
    policy: EndpointPolicy,
    decisions: ReadonlyMap<string, LoadDecision>,
    budget: StartBudget,
  ): void {
    const { clock, driver, runTimes } = this.deps;
    const planned = planStarts(jobs, driver.sessions(), policy, {
      now: clock.now(),
      wall: clock.wall(),
      runTimes,
      decisions,
      budget,
    });
    // The members of a gang share a run number, so all numbers are allocated
    // before the first task is placed.
    const runs = planned.map(({ job, ref }) =>
      nextRunNumber(job.progress, job.spec, ref)
    );
    planned.forEach((task, i) => this.#place(task, runs[i]));
  }

  /** Combines maintenance, host offers and tickets into one policy. */
  #policy(): EndpointPolicy {
    const { clock, offers, advisedSteps } = this.deps;
    const now = clock.now();
    const vacating = this.deps.vacating();
    const planned = this.deps.plannedVacates();
    return {
      awaitsVacate: (id: string) => planned.has(id),
      isClosed: (id: string) => vacating.has(id) || offers.isClosed(id, now),
      mayBeMoved: (id: string) => offers.mayBeMoved(id, now),
      lacksTicket: (job: TrackedJob, ref: StepRef, id: string) =>
        advisedSteps.ticketFor(job, ref, id) === undefined,
    };
  }

  /** The policy for tasks that may also use endpoints that are closing. */
  #policyForOverdue(): EndpointPolicy {
    const { clock, offers } = this.deps;
    const now = clock.now();
    const vacating = this.deps.vacating();
    return {
      ...this.#policy(),
      isClosed: (id: string) => vacating.has(id) || offers.isKeptEmpty(id, now),
    };
  }

  /** Records the intended run, and starts it once the record is committed. */
  #place({ job, ref, endpoint: id }: PlannedTask, run: number): void {
    const { clock, driver, jobs, advisedSteps, commits } = this.deps;
    const session = driver.session(id);
    if (session === undefined) return;
    const { life } = session.endpoint;
    const placement = { run, endpoint: id, life };
    const progress = placeTask(job.progress, ref, placement);
    jobs.update(job, progress, clock.now());
    const checkpoint = startCheckpoint(progress, job.spec, ref);
    const ticket = advisedSteps.ticketFor(job, ref, id) ?? "";
    this.#logPlacement(job, ref, id, run);
    const startOptions = { checkpoint, ticket };
    const intendedRun = driver.addIntendedRun(
      session,
      job.spec,
      ref,
      run,
      startOptions,
    );
    commits.whenCommitted(() => driver.runOrders.start(session, intendedRun));
  }

  #logPlacement(
    job: TrackedJob,
    ref: TaskRef,
    endpoint: string,
    run: number,
  ): void {
    const { clock, log, shard, lease, runTimes } = this.deps;
    const { spec } = job;
    log.decision("task-placed", {
      job: spec.id,
      task: taskName(spec.id, ref),
      run,
      endpoint,
      shard,
      term: lease.term,
      ageMs: Math.round(clock.wall() - spec.acceptedAt),
      expectedMs: Math.round(
        runTimes.expectedMs(spec.queue, spec.steps[ref.step]),
      ),
    });
  }
}
