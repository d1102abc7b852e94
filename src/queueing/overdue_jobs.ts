/**
 * Selects the jobs whose tasks may also start on closing endpoints.
 *
 * A pool closes the endpoints that it doesn't need, so that they become empty
 * and their hosts can move. A long task may keep such an endpoint from becoming
 * empty for any time, and jobs must not wait beside it all the while. So a job of
 * which nothing runs for a time may use it, as long as the pool is not well used:
 * the rest of the surplus still becomes empty. Tasks that last may use it at
 * once, because they earn for as long as they run.
 */
import {
  addResources,
  multiplyResources,
  noResources,
  readySteps,
  reservedResources,
  type Resources,
} from "../batch/index.ts";
import type { TrackedJob } from "../shard_jobs/index.ts";
import { type PoolUsage, usedShare } from "../sessions/index.ts";

/**
 * Time after which a job of which a task waits and none runs may use closing
 * endpoints, in ms. Other tasks end and free open endpoints meanwhile.
 */
const overdueMs = 1_000;

/**
 * Share of the pool's CPU and memory in use from which overdue jobs wait for
 * open endpoints. It is above the half that callers hold a pool to (LOST).
 */
const maxUsedShare = 0.6;

/** Returns the resources of the waiting tasks of a job that could start. */
function waitingResources({ progress, spec }: TrackedJob): Resources {
  return readySteps(progress, spec)
    .map(({ step, waiting }) =>
      multiplyResources(reservedResources(spec.steps[step]), waiting)
    )
    .reduce(addResources, noResources);
}

/** Whether a task that lasts waits for placement. */
function hasWaitingLongRunning({ progress, spec }: TrackedJob): boolean {
  return readySteps(progress, spec).some(({ step, waiting }) =>
    waiting > 0 && spec.steps[step].longRunning
  );
}

/** Whether a task of the job could start and none has been placed. */
function isIdle({ progress, spec }: TrackedJob): boolean {
  const ready = readySteps(progress, spec);
  return ready.length > 0 &&
    ready.every(({ open, waiting }) => open === waiting);
}

/** Tracks for how long nothing runs of each job of a shard. */
export class OverdueJobs {
  /** Monotonic time in ms since which nothing runs, by the id of the job. */
  #idleSince: ReadonlyMap<string, number> = new Map();

  /**
   * Returns the jobs that may use closing endpoints at the monotonic time `now`
   * (ms): those with waiting tasks that last, and the longest waiting of the
   * others until the pool is well used.
   */
  select(
    jobs: readonly TrackedJob[],
    usage: PoolUsage,
    now: number,
  ): readonly TrackedJob[] {
    this.#track(jobs, now);
    const lasting = jobs.filter(hasWaitingLongRunning);
    return [
      ...new Set([...lasting, ...this.#longestWaiting(jobs, usage, now)]),
    ];
  }

  /** Notes which jobs have nothing running, and forgets the others. */
  #track(jobs: readonly TrackedJob[], now: number): void {
    const before = this.#idleSince;
    this.#idleSince = new Map(
      jobs.filter(isIdle).map((
        { spec: { id } },
      ) => [id, before.get(id) ?? now]),
    );
  }

  /** The overdue jobs that fit into the share that may be used. */
  #longestWaiting(
    jobs: readonly TrackedJob[],
    usage: PoolUsage,
    now: number,
  ): readonly TrackedJob[] {
    const idleMs = ({ spec }: TrackedJob) =>
      now - (this.#idleSince.get(spec.id) ?? now);
    const overdue = jobs
      .filter((job) => idleMs(job) >= overdueMs)
      .sort((a, b) => idleMs(b) - idleMs(a));
    const selected: TrackedJob[] = [];
    let { used } = usage;
    for (const job of overdue) {
      if (usedShare({ ...usage, used }) >= maxUsedShare) break;
      selected.push(job);
      used = addResources(used, waitingResources(job));
    }
    return selected;
  }
}
