/** Plans the load of a shard's pool at intervals, and logs what gives way. */
import type { CatalogHolder } from "../catalog/index.ts";
import type { Clock } from "../clock/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import {
  cpuForJobs,
  type EndpointSession,
  freeCpu,
} from "../sessions/index.ts";
import type { StartCapacity } from "./overload.ts";
import type { TrackedJob } from "../shard_jobs/index.ts";
import {
  collectWaitingJobs,
  occurrenceKey,
  type WaitingJobs,
} from "./job_rank.ts";
import {
  emptyLoadPlan,
  type LoadDecision,
  type LoadPlan,
  planLoad,
} from "./load_plan.ts";
import type { RunTimes } from "../runs/index.ts";
import { WorkspaceStandings } from "./workspace_standings.ts";

/** Minimum interval between two selections, in ms. */
const minSelectionIntervalMs = 60;

/** Part of the interval that each open job adds, in ms. */
const selectionIntervalPerJobMs = 0.2;

/** Number of logged keys above which those of ended jobs are removed. */
const maxLoggedKeys = 2_000;

/** Dependencies of a {@link DeferredJobs}. */
export interface DeferredJobsDependencies {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly runTimes: RunTimes;
  readonly catalog: Pick<CatalogHolder, "current">;
}

/** The load of a pool, and what gives way. */
export interface PoolLoad extends Pick<WaitingJobs, "meanWork"> {
  readonly plan: LoadPlan;
  readonly capacity: StartCapacity;
  /** Names of the workspaces whose next job is beyond their weight. */
  readonly exhausted: readonly string[];
  /** Priorities of the queues that have waiting jobs, by name. */
  readonly priorities: ReadonlyMap<string, number>;
}

/**
 * Returns the capacity of the open endpoints for the waiting tasks. Tasks that
 * need much memory for their CPU fill an endpoint before its cores are in use.
 */
function capacityOf(
  sessions: readonly EndpointSession[],
  { runMs, memoryPerCpu }: WaitingJobs,
): StartCapacity {
  let cpuMillis = 0;
  let freeCpuMillis = 0;
  for (const session of sessions) {
    cpuMillis += cpuForJobs(session, memoryPerCpu);
    freeCpuMillis += freeCpu(session, memoryPerCpu);
  }
  return { cpuMillis, freeCpuMillis, runMs };
}

/** Plans the load of one shard's pool. */
export class DeferredJobs {
  #load: PoolLoad = {
    plan: emptyLoadPlan,
    capacity: { cpuMillis: 0, freeCpuMillis: 0, runMs: 0 },
    meanWork: new Map(),
    exhausted: [],
    priorities: new Map(),
  };
  #plannedAt = -Infinity;
  readonly #standings = new WorkspaceStandings();
  /** Keys whose deferral has been logged, kept until their jobs end. */
  readonly #logged = new Set<string>();

  constructor(private readonly deps: DeferredJobsDependencies) {}

  /** The load as last planned. */
  get load(): PoolLoad {
    return this.#load;
  }

  /**
   * Returns the decisions about waiting occurrences by their keys. The load is
   * planned again when the interval since the last plan has passed.
   */
  current(
    jobs: readonly TrackedJob[],
    sessions: readonly EndpointSession[],
  ): ReadonlyMap<string, LoadDecision> {
    const { clock, runTimes, catalog } = this.deps;
    const now = clock.now();
    const intervalMs = Math.max(
      minSelectionIntervalMs,
      jobs.length * selectionIntervalPerJobMs,
    );
    if (now - this.#plannedAt < intervalMs) return this.#load.plan.decisions;
    this.#plannedAt = now;
    const wall = clock.wall();
    const workspaces = catalog.current?.workspaces;
    const standingOf = this.#standings.current(jobs, sessions, workspaces);
    const waiting = collectWaitingJobs(jobs, wall, runTimes, standingOf);
    const capacity = capacityOf(sessions, waiting);
    const plan = planLoad(waiting.jobs, capacity, wall);
    this.#load = {
      plan,
      capacity,
      meanWork: waiting.meanWork,
      exhausted: this.#standings.exhausted(wall, workspaces),
      priorities: new Map(
        jobs.map(({ spec }) => [spec.queue, spec.priority]),
      ),
    };
    this.#logNew(waiting.jobs.length);
    if (this.#logged.size > maxLoggedKeys) this.#forgetEnded(jobs);
    return plan.decisions;
  }

  /**
   * Logs each job only once, because jobs near the capacity limit move in and
   * out of the set all the time.
   */
  #logNew(waitingCount: number): void {
    const { shard, log } = this.deps;
    const { plan, capacity } = this.#load;
    for (const [job, { outcome, isBeyondWeight }] of plan.decisions) {
      if (this.#logged.has(job)) continue;
      this.#logged.add(job);
      log.decision("job-put-off", {
        job,
        shard,
        outcome,
        beyondWeight: isBeyondWeight,
        due: waitingCount,
        cpuMillis: capacity.cpuMillis,
        freeCpuMillis: Math.round(capacity.freeCpuMillis),
      });
    }
  }

  /** Removes the logged keys of occurrences that have ended. */
  #forgetEnded(jobs: readonly TrackedJob[]): void {
    const open = new Set(
      jobs.flatMap(({ spec, progress }) =>
        [...progress.open.keys()].map((k) => occurrenceKey(spec.id, k))
      ),
    );
    for (const id of this.#logged) if (!open.has(id)) this.#logged.delete(id);
  }
}
