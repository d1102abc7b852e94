/**
 * Which jobs can be on time together when there is more work than capacity.
 *
 * Serving by deadline alone makes every job of an overload a little late. So
 * the work that is due by each deadline is added up in the order of the
 * deadlines, and wherever it exceeds what the pool can do by then, the job
 * that is worth least for the work that it still needs is put off (Moore and
 * Hodgson's rule for the fewest late jobs, with weights). Work that has begun
 * is not dropped: a job that needs little more is worth finishing.
 *
 * A job that is put off keeps waiting and is considered anew each time.
 */

/** What a job still needs to be on time; work is in thousandths of a core × ms. */
export interface DueWork {
  /** Names the occurrence of the job. */
  readonly key: string;
  /** 0 is put off last. */
  readonly priority: number;
  /** Time by which it has to be done, in ms. */
  readonly finishBy: number;
  /** Work of tasks that run. */
  readonly running: number;
  /** Work of tasks that have not started. */
  readonly waiting: number;
  /** Work of the whole job, by the mean of its queue's jobs. */
  readonly size: number;
  /** Drawn evenly from 0 to 1, always the same for a job. */
  readonly randomDraw: number;
}

/** Part of a job's benefit that does not grow with its size. */
const fixedBenefitShare = 0.3;

/**
 * Factor by which the lot may raise or lower a job's worth. Small jobs bring
 * more benefit for their work, and without a lot the largest would never be
 * on time in an overload; with it they are on time at least half as often as
 * the others.
 */
const maxRandomFactor = 3;

interface DeferralCandidate {
  readonly work: DueWork;
  /** Benefit for the work that is still to do, weighted by the lot. */
  readonly rate: number;
}

function benefitRate({ size, waiting, randomDraw }: DueWork): number {
  const benefit = fixedBenefitShare + (1 - fixedBenefitShare) * size;
  return benefit / waiting * maxRandomFactor ** (2 * randomDraw - 1);
}

/** Whether `a` is put off before `b`. */
function isDeferredBefore(a: DeferralCandidate, b: DeferralCandidate): boolean {
  if (a.work.priority !== b.work.priority) {
    return a.work.priority > b.work.priority;
  }
  return a.rate < b.rate;
}

/** Inserts a candidate so that the next to be put off stays last. */
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
 * Keys of the jobs to put off, given the processor that they share, in
 * thousandths of a core, and the time in ms.
 */
export function jobsToPutOff(
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
