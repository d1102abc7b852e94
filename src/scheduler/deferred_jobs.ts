/** Selects a shard's jobs that are deferred in an overload, at intervals. */
import type { Clock } from "../clock/index.ts";
import type { DecisionLog } from "./decision_log.ts";
import {
  cpuForJobs,
  type EndpointSession,
  freeCpu,
} from "./endpoint_session.ts";
import {
  type PendingJob,
  selectDeferredJobs,
  type StartCapacity,
} from "./overload.ts";
import type { TrackedJob } from "./job_registry.ts";
import {
  collectPendingStarts,
  occurrenceKey,
  type PendingOccurrence,
} from "./job_rank.ts";
import { lateTier, noBenefitTier } from "./task_order.ts";
import type { RunTimes } from "./run_times.ts";

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
}

/** Returns the capacity of the open endpoints for tasks of the given length. */
function capacityOf(
  sessions: readonly EndpointSession[],
  runMs: number,
): StartCapacity {
  let cpuMillis = 0;
  let freeCpuMillis = 0;
  for (const session of sessions) {
    cpuMillis += cpuForJobs(session);
    freeCpuMillis += freeCpu(session);
  }
  return { cpuMillis, freeCpuMillis, runMs };
}

/** Priority of jobs that must not be deferred in favour of others. */
const keptPriority = -1;

/** Best tier that each deferred occurrence may have, by its key. */
export type DeferredTiers = ReadonlyMap<string, number>;

function toOnTimeJob(occurrence: PendingOccurrence): PendingJob {
  return { ...occurrence, starts: occurrence.onTimeStarts };
}

function toLateJob(occurrence: PendingOccurrence): PendingJob {
  return { ...occurrence, starts: occurrence.lateStarts };
}

/**
 * Selects the occurrences that are deferred in favour of others: first those
 * that are not to be on time; then, among these and those that are late, the
 * ones that are to earn nothing, because the late ones must not delay each other
 * until all of them are too late.
 */
export function selectDeferredTiers(
  occurrences: readonly PendingOccurrence[],
  capacity: StartCapacity,
  wall: number,
): DeferredTiers {
  const onTime = occurrences.filter((each) => each.canBeOnTime);
  const late = selectDeferredJobs(onTime.map(toOnTimeJob), capacity, wall);
  const kept = onTime.filter((each) => !late.has(each.key)).map((each) => ({
    ...toOnTimeJob(each),
    priority: keptPriority,
  }));
  const others = occurrences.filter((each) =>
    !each.canBeOnTime || late.has(each.key)
  );
  const jobs = [...kept, ...others.map(toLateJob)];
  const unserved = selectDeferredJobs(jobs, capacity, wall);
  const tiers = new Map<string, number>();
  for (const key of late) tiers.set(key, lateTier);
  for (const key of unserved) tiers.set(key, noBenefitTier);
  return tiers;
}

/** Selects the deferred occurrences of one shard's jobs, and logs them. */
export class DeferredJobs {
  #tiers: DeferredTiers = new Map();
  #selectedAt = -Infinity;
  /** Keys whose deferral has been logged, kept until their jobs end. */
  readonly #logged = new Set<string>();

  constructor(private readonly deps: DeferredJobsDependencies) {}

  /**
   * Returns the deferred occurrences. The selection is repeated when the
   * interval since the last one has passed.
   */
  current(
    jobs: readonly TrackedJob[],
    sessions: readonly EndpointSession[],
  ): DeferredTiers {
    const { clock, runTimes } = this.deps;
    const now = clock.now();
    const intervalMs = Math.max(
      minSelectionIntervalMs,
      jobs.length * selectionIntervalPerJobMs,
    );
    if (now - this.#selectedAt < intervalMs) return this.#tiers;
    this.#selectedAt = now;
    const wall = clock.wall();
    const pending = collectPendingStarts(jobs, wall, runTimes);
    const capacity = capacityOf(sessions, pending.runMs);
    const tiers = selectDeferredTiers(pending.occurrences, capacity, wall);
    this.#logNew(tiers, pending.occurrences.length, capacity);
    if (this.#logged.size > maxLoggedKeys) this.#forgetEnded(jobs);
    this.#tiers = tiers;
    return tiers;
  }

  /**
   * Logs each job only once, because jobs near the capacity limit move in and
   * out of the set all the time.
   */
  #logNew(
    tiers: DeferredTiers,
    pendingCount: number,
    capacity: StartCapacity,
  ): void {
    const { shard, log } = this.deps;
    for (const [job, tier] of tiers) {
      if (this.#logged.has(job)) continue;
      this.#logged.add(job);
      log.decision("job-put-off", {
        job,
        shard,
        tier,
        due: pendingCount,
        cpuMillis: capacity.cpuMillis,
        freeCpuMillis: capacity.freeCpuMillis,
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
