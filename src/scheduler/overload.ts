/**
 * Selects the jobs to defer when a pool has more work than capacity.
 *
 * Earliest deadline first alone would make every job of an overload slightly
 * late. This module adds up the due work in the order of the deadlines. Where
 * the sum exceeds what the pool can do by a deadline, it defers the job with
 * the least benefit for its waiting work (the weighted form of the
 * Moore-Hodgson algorithm, which minimizes the number of late jobs). Running
 * work is never deferred: a job that is almost done is worth finishing.
 *
 * A deferred job keeps waiting and is considered again at each selection.
 */

/**
 * Work that a job still has to do to be on time, in thousandths of a core
 * times ms.
 */
export interface DueWork {
  /** Key of the job's occurrence. */
  readonly key: string;
  /** Priority of the job's queue; priority 0 is deferred last. */
  readonly priority: number;
  /** Wall-clock time by which it must end to be on time, in ms. */
  readonly finishBy: number;
  /** Remaining work of running tasks. */
  readonly running: number;
  /** Work of tasks that have not started. */
  readonly waiting: number;
  /** Total work of the job, relative to the mean of its queue's jobs. */
  readonly size: number;
  /** Evenly distributed number from 0 to 1 that stays the same for a job. */
  readonly randomFraction: number;
}

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
  readonly work: DueWork;
  /** Benefit per unit of waiting work, weighted by the random fraction. */
  readonly rate: number;
}

/**
 * Returns a job's benefit per unit of waiting work, weighted by its random
 * fraction.
 */
function benefitRate(
  { size, waiting, randomFraction }: DueWork,
): number {
  const benefit = fixedBenefitShare + (1 - fixedBenefitShare) * size;
  return benefit / waiting * maxRandomFactor ** (2 * randomFraction - 1);
}

/** Returns whether `a` is deferred before `b`. */
function isDeferredBefore(a: DeferralCandidate, b: DeferralCandidate): boolean {
  if (a.work.priority !== b.work.priority) {
    return a.work.priority > b.work.priority;
  }
  return a.rate < b.rate;
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
 * Returns the keys of the jobs to defer at the wall-clock time `now` (ms),
 * when `cpuMillis` thousandths of a core are shared by all jobs.
 */
export function selectDeferredJobs(
  work: readonly DueWork[],
  cpuMillis: number,
  now: number,
): ReadonlySet<string> {
  const deferred = new Set<string>();
  const ranked: DeferralCandidate[] = [];
  let dueTotal = 0;
  for (const job of [...work].sort((a, b) => a.finishBy - b.finishBy)) {
    dueTotal += job.running + job.waiting;
    if (job.waiting > 0) insert(ranked, { work: job, rate: benefitRate(job) });
    const capacity = cpuMillis * Math.max(0, job.finishBy - now);
    while (dueTotal > capacity) {
      const leastValuable = ranked.pop();
      if (leastValuable === undefined) break;
      dueTotal -= leastValuable.work.waiting;
      deferred.add(leastValuable.work.key);
    }
  }
  return deferred;
}
