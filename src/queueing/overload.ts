/**
 * Selects the jobs to defer when a pool has more work than capacity.
 *
 * Earliest deadline first alone would make every job of an overload slightly
 * late. This module adds up the work that has to start, in the order of the
 * latest starts. Where the sum exceeds what the pool can start by then, it
 * defers the job with the least benefit for its waiting work (the weighted form
 * of the Moore-Hodgson algorithm, which minimizes the number of late jobs).
 * Running work is never deferred: a job that is almost done is worth finishing.
 *
 * Tasks are not preempted. So a busy core becomes available only as tasks end,
 * whether the tasks on it are on time or late, and a job that ends on time is
 * one whose tasks start on time.
 *
 * A deferred job keeps waiting and is considered again at each selection.
 */

/** Waiting tasks of one step, which have to start for the job to be on time. */
export interface PendingStart {
  /** Latest wall-clock time at which they can start and be on time, in ms. */
  readonly startBy: number;
  /** Their work, in thousandths of a core times ms. */
  readonly work: number;
}

/**
 * How a workspace stands with one of its jobs; higher values are deferred first.
 * Without workspaces all jobs are within their share.
 */
export const standings = {
  withinShare: 0,
  /** Its tasks use far more than its share of a pool that is full. */
  overShare: 1,
  /** The job came beyond the rate that the workspace's weight allows. */
  beyondWeight: 2,
} as const;

/** One of {@link standings}. */
export type Standing = typeof standings[keyof typeof standings];

/** The tasks of a job that have to start for the job to be on time. */
export interface PendingJob {
  /** Key of the job's occurrence. */
  readonly key: string;
  /** Priority of the job's queue; priority 0 is deferred last. */
  readonly priority: number;
  readonly starts: readonly PendingStart[];
  /** How the job's workspace stands; within its share if absent. */
  readonly standing?: Standing;
  /** Total work of the job, relative to the mean of its queue's jobs. */
  readonly size: number;
  /** Evenly distributed number from 0 to 1 that stays the same for a job. */
  readonly randomFraction: number;
}

/** Capacity that the jobs of a pool share. */
export interface StartCapacity {
  /** Capacity of all endpoints, in thousandths of a core. */
  readonly cpuMillis: number;
  /** Part of it that no task uses now. */
  readonly freeCpuMillis: number;
  /** Mean run time of the waiting tasks, weighted by their CPU, in ms. */
  readonly runMs: number;
}

/**
 * Share of the capacity that runs tasks under load. The rest is lost between
 * the end of a task and the start of the next one, and to fragmentation.
 */
export const usableShare = 0.9;

/** Share of a job's benefit that does not grow with its size. */
const fixedBenefitShare = 0.3;

/**
 * Largest factor by which a job's random fraction raises or lowers its benefit
 * rate. Small jobs earn more for their work, so without this factor the largest
 * jobs would never be on time in an overload. With it, they are on time at
 * least half as often as the others.
 */
const maxRandomFactor = 3;

/** A job that may be deferred. */
interface DeferralCandidate {
  readonly job: PendingJob;
  /** See {@link benefitRate}. */
  readonly rate: number;
}

/** One step's waiting tasks and their job. */
interface JobStart extends PendingStart {
  readonly job: PendingJob;
}

/** What the benefit rate of a job is computed from. */
export interface RatedWork extends Pick<PendingJob, "size" | "randomFraction"> {
  /** Work that waits, in thousandths of a core times ms. */
  readonly work: number;
}

/**
 * Returns a job's benefit per unit of waiting work, weighted by its random
 * fraction.
 */
export function benefitRate({ size, work, randomFraction }: RatedWork): number {
  const benefit = fixedBenefitShare + (1 - fixedBenefitShare) * size;
  return benefit / work * maxRandomFactor ** (2 * randomFraction - 1);
}

/** Returns the benefit rate of a job with its waiting tasks. */
export function rateOf(job: PendingJob): number {
  const work = job.starts.reduce((sum, start) => sum + start.work, 0);
  return benefitRate({ ...job, work });
}

/** Returns whether `a` is deferred before `b`. */
function isDeferredBefore(a: DeferralCandidate, b: DeferralCandidate): boolean {
  if (a.job.priority !== b.job.priority) {
    return a.job.priority > b.job.priority;
  }
  const standing = a.job.standing ?? standings.withinShare;
  const other = b.job.standing ?? standings.withinShare;
  return standing === other ? a.rate < b.rate : standing > other;
}

/** Inserts a candidate so that the next one to defer stays last. */
function insert(
  sorted: DeferralCandidate[],
  candidate: DeferralCandidate,
): void {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (isDeferredBefore(sorted[middle], candidate)) high = middle;
    else low = middle + 1;
  }
  sorted.splice(low, 0, candidate);
}

/**
 * Returns the work that can start within `ms`, in thousandths of a core times
 * ms: tasks start on the free cores at once, and on the others as tasks end.
 */
function startableWork(
  { cpuMillis, freeCpuMillis, runMs }: StartCapacity,
  ms: number,
): number {
  const time = Math.max(0, ms);
  const aheadOnFreeCores = freeCpuMillis * Math.max(0, runMs - time);
  return usableShare * cpuMillis * time + aheadOnFreeCores;
}

/** Returns the starts of all jobs, the most urgent first. */
function startsInOrder(jobs: readonly PendingJob[]): readonly JobStart[] {
  return jobs
    .flatMap((job) => job.starts.map((start) => ({ ...start, job })))
    .sort((a, b) => a.startBy - b.startBy);
}

/**
 * Returns the keys of the jobs to defer at the wall-clock time `now` (ms), when
 * all jobs share the given capacity.
 * @param first Jobs that share it too and are not deferred.
 */
export function selectDeferredJobs(
  jobs: readonly PendingJob[],
  capacity: StartCapacity,
  now: number,
  first: readonly PendingJob[] = [],
): ReadonlySet<string> {
  const certain = new Set(first);
  const deferred = new Set<string>();
  const ranked: DeferralCandidate[] = [];
  /** Work that has been added up so far, by the key of its job. */
  const addedWork = new Map<string, number>();
  let keptWork = 0;
  for (const { job, startBy, work } of startsInOrder([...first, ...jobs])) {
    if (deferred.has(job.key)) continue;
    const added = addedWork.get(job.key);
    if (added === undefined && !certain.has(job)) {
      insert(ranked, { job, rate: rateOf(job) });
    }
    addedWork.set(job.key, (added ?? 0) + work);
    keptWork += work;
    const startable = startableWork(capacity, startBy - now);
    while (keptWork > startable) {
      const leastValuable = ranked.pop();
      if (leastValuable === undefined) break;
      const { key } = leastValuable.job;
      keptWork -= addedWork.get(key) ?? 0;
      deferred.add(key);
    }
  }
  return deferred;
}
