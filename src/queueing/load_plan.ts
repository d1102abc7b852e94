/**
 * Decides what gives way when a pool has more work than room.
 *
 * Every waiting job is to start in time for its objective, or it is put off so
 * that it ends late but still earns something, or there is no room for it before
 * it earns nothing. Both selections drop the jobs that cost callers least: those
 * of the lowest priority, within a priority what a workspace has sent beyond its
 * weight, then the work of workspaces far over their share, and among equals the
 * least benefit for the work that still waits. So jobs that are nearly done
 * finish before new ones begin.
 *
 * A job that nobody can serve any more is done when room is left; it was
 * accepted, and some callers can wait.
 */
import {
  benefitRate,
  type PendingJob,
  type PendingStart,
  type RatedWork,
  rateOf,
  selectDeferredJobs,
  type Standing,
  standings,
  type StartCapacity,
  usableShare,
} from "./overload.ts";

/** A job with waiting tasks that can still earn a benefit. */
export interface WaitingJob extends Omit<PendingJob, "starts"> {
  /**
   * Starts of its waiting tasks with which it is on time; undefined if it can
   * only be late.
   */
  readonly onTimeStarts: readonly PendingStart[] | undefined;
  /** Starts with which it ends just before it earns nothing. */
  readonly lateStarts: readonly PendingStart[];
}

/** What becomes of a waiting job. */
export type LoadOutcome = "on-time" | "late" | "unserved";

/** The decision about one waiting job. */
export interface LoadDecision {
  readonly outcome: LoadOutcome;
  readonly isBeyondWeight: boolean;
}

/** The decisions about the waiting jobs of a pool. */
export interface LoadPlan {
  /** Decisions by the key of the job's occurrence. */
  readonly decisions: ReadonlyMap<string, LoadDecision>;
  /** By priority, where waiting jobs of it have no room; else empty. */
  readonly shortRooms: ReadonlyMap<number, PriorityRoom>;
}

/** The room of a pool that new jobs of one priority find. */
export interface PriorityRoom {
  /**
   * Work of the kept jobs of this priority and of more urgent ones, in
   * thousandths of a core times ms.
   */
  readonly keptWork: number;
  /**
   * Lowest benefit rate of the kept jobs of this priority; 0 if some of them
   * give way to any new job that stands better.
   */
  readonly minRate: number;
  /** The same for new jobs beyond the weight of their workspace. */
  readonly minRateBeyondWeight: number;
}

/** A plan without decisions, in which each job is ranked by the clock alone. */
export const emptyLoadPlan: LoadPlan = {
  decisions: new Map(),
  shortRooms: new Map(),
};

/** Work of a job's waiting tasks, in thousandths of a core times ms. */
function waitingWork({ starts }: PendingJob): number {
  return starts.reduce((sum, { work }) => sum + work, 0);
}

/** Returns the room for each priority of which jobs are unserved. */
function findShortRooms(
  kept: readonly PendingJob[],
  unserved: readonly PendingJob[],
): ReadonlyMap<number, PriorityRoom> {
  const priorities = new Set(unserved.map(({ priority }) => priority));
  return new Map([...priorities].map((priority) => {
    const ahead = kept.filter((job) => job.priority <= priority);
    const equal = ahead.filter((job) => job.priority === priority);
    const keptWork = ahead.reduce((sum, job) => sum + waitingWork(job), 0);
    const { withinShare, beyondWeight } = standings;
    return [priority, {
      keptWork,
      minRate: lowestRate(equal, withinShare),
      minRateBeyondWeight: lowestRate(equal, beyondWeight),
    }];
  }));
}

/**
 * Returns the lowest rate of the kept jobs that a new job with a standing
 * competes with: 0 if one stands worse, and infinity if all stand better.
 */
function lowestRate(kept: readonly PendingJob[], standing: Standing): number {
  const rates = kept.map((job) => {
    const other = job.standing ?? standings.withinShare;
    if (other > standing) return 0;
    return other < standing ? Infinity : rateOf(job);
  });
  return Math.min(...rates);
}

/**
 * Decides about the waiting jobs at the wall-clock time `now` (ms), when all of
 * them share the given capacity and nothing else arrives.
 */
export function planLoad(
  jobs: readonly WaitingJob[],
  capacity: StartCapacity,
  now: number,
): LoadPlan {
  const onTime = jobs.flatMap((job): PendingJob[] =>
    job.onTimeStarts === undefined ? [] : [{ ...job, starts: job.onTimeStarts }]
  );
  const putOff = selectDeferredJobs(onTime, capacity, now);
  const kept = onTime.filter(({ key }) => !putOff.has(key));
  const keptKeys = new Set(kept.map(({ key }) => key));
  const late = jobs
    .filter(({ key }) => !keptKeys.has(key))
    .map((job): PendingJob => ({ ...job, starts: job.lateStarts }));
  const dropped = selectDeferredJobs(late, capacity, now, kept);
  const decisions = new Map<string, LoadDecision>();
  for (const { key, standing } of jobs) {
    const isBeyondWeight = standing === standings.beyondWeight;
    const outcome = outcomeOf(key, keptKeys, dropped);
    if (outcome === "on-time" && !isBeyondWeight) continue;
    decisions.set(key, { outcome, isBeyondWeight });
  }
  const keptLate = late.filter(({ key }) => !dropped.has(key));
  const unserved = late.filter(({ key }) => dropped.has(key));
  const shortRooms = findShortRooms([...kept, ...keptLate], unserved);
  return { decisions, shortRooms };
}

/** What becomes of a job, by the keys that the two selections have decided. */
function outcomeOf(
  key: string,
  onTime: ReadonlySet<string>,
  dropped: ReadonlySet<string>,
): LoadOutcome {
  if (onTime.has(key)) return "on-time";
  return dropped.has(key) ? "unserved" : "late";
}

/** A job that is to be submitted. */
export interface NewJob extends RatedWork {
  /** Time within which its tasks have to start to earn anything, in ms. */
  readonly startWithinMs: number;
}

/**
 * Returns the time in ms after which there will be room for a new job; 0 if
 * there is room now. There is none if the kept work fills the pool until the
 * job earns nothing, and each kept job earns more for its work.
 * @param cpuMillis Capacity of the pool, in thousandths of a core.
 */
export function msUntilRoom(
  job: NewJob,
  { keptWork, minRate }: Pick<PriorityRoom, "keptWork" | "minRate">,
  cpuMillis: number,
): number {
  if (benefitRate(job) >= minRate) return 0;
  const room = usableShare * cpuMillis * job.startWithinMs;
  const missing = keptWork + job.work - room;
  return Math.max(0, missing / Math.max(1, usableShare * cpuMillis));
}
