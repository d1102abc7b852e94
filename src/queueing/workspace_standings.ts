/**
 * Tells how the workspaces of a pool's jobs stand: which jobs came beyond the
 * rate of a workspace's weight, and which workspaces use far more than their
 * share.
 *
 * A job's rate is metered in the order of acceptance, by a token bucket that
 * holds the jobs of a few seconds. Each pool meters the jobs that it gets, so a
 * workspace that uses several pools is never taken for faster than it is. The
 * share follows dominant resource fairness: of CPU and memory counts the one of
 * which a workspace's tasks use the larger part of the pool, divided by its
 * weight.
 */
import { addResources, noResources, type Resources } from "../batch/index.ts";
import type { TrackedJob } from "../shard_jobs/index.ts";
import { type EndpointSession, usageOf } from "../sessions/index.ts";
import { reservedResources } from "../batch/index.ts";
import type { WorkspaceDirectory } from "../workspaces/index.ts";
import type { StandingOf } from "./job_rank.ts";
import { standings } from "./overload.ts";

/**
 * Time over which a workspace's rate counts, in s: it may send the jobs of its
 * weight for that time at once. Callers arrive at random, so a shorter one would
 * hold their usual rate against them.
 */
const burstS = 5;

/** Multiple of its share from which a workspace yields to the others. */
const farOverShareFactor = 2;

/** A token bucket for the jobs of one workspace. */
class JobBucket {
  #tokens: number;
  /** Time of acceptance of the last job, in ms. */
  #filledAt: number;

  constructor(acceptedAt: number, weight: number) {
    this.#tokens = JobBucket.size(weight);
    this.#filledAt = acceptedAt;
  }

  /** Jobs that a workspace of a weight may send at once. */
  static size(weight: number): number {
    return Math.max(1, weight * burstS);
  }

  /** Takes a token for a job accepted at a time (ms); false if there is none. */
  take(acceptedAt: number, weight: number): boolean {
    const elapsedMs = Math.max(0, acceptedAt - this.#filledAt);
    this.#filledAt = Math.max(this.#filledAt, acceptedAt);
    const filled = this.#tokens + weight * elapsedMs / 1_000;
    this.#tokens = Math.min(JobBucket.size(weight), filled);
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }

  /** Whether a job that is accepted at a time (ms) would get no token. */
  isEmpty(at: number, weight: number): boolean {
    const elapsedMs = Math.max(0, at - this.#filledAt);
    return this.#tokens + weight * elapsedMs / 1_000 < 1;
  }
}

/** Meters the jobs of a pool against the weights of their workspaces. */
export class WeightMeter {
  readonly #buckets = new Map<string, JobBucket>();
  /** Whether each metered job came beyond its workspace's weight. */
  readonly #isBeyond = new WeakMap<TrackedJob, boolean>();

  /** Meters the jobs that have not been metered yet, the oldest first. */
  meter(jobs: readonly TrackedJob[], workspaces: WorkspaceDirectory): void {
    const unmetered = jobs
      .filter((job) => !this.#isBeyond.has(job))
      .sort((a, b) => a.spec.acceptedAt - b.spec.acceptedAt);
    for (const job of unmetered) {
      this.#isBeyond.set(job, !this.#take(job, workspaces));
    }
  }

  /** Whether a metered job came beyond the weight of its workspace. */
  isBeyondWeight(job: TrackedJob): boolean {
    return this.#isBeyond.get(job) ?? false;
  }

  /** Names of the workspaces whose next job is beyond their weight at a time. */
  exhausted(wall: number, workspaces: WorkspaceDirectory): readonly string[] {
    return [...this.#buckets].flatMap(([name, bucket]) => {
      const weight = workspaces.byName(name)?.weight;
      return weight !== undefined && bucket.isEmpty(wall, weight) ? [name] : [];
    });
  }

  #take({ spec }: TrackedJob, workspaces: WorkspaceDirectory): boolean {
    const { workspace: name, acceptedAt } = spec;
    if (name === undefined) return true;
    const weight = workspaces.byName(name)?.weight;
    if (weight === undefined) return true;
    const bucket = this.#buckets.get(name) ?? new JobBucket(acceptedAt, weight);
    this.#buckets.set(name, bucket);
    return bucket.take(acceptedAt, weight);
  }
}

/** Returns the resources that the runs of each job use, by its id. */
function usedByJob(
  sessions: readonly EndpointSession[],
): ReadonlyMap<string, Resources> {
  const used = new Map<string, Resources>();
  for (const session of sessions) {
    for (const { job, step } of session.runs.values()) {
      const before = used.get(job) ?? noResources;
      used.set(job, addResources(before, reservedResources(step)));
    }
  }
  return used;
}

/** What the jobs of a workspace use of a pool, as shares from 0 to 1. */
interface WorkspaceUse {
  total: number;
  /** The part of its largest job. */
  largest: number;
}

/** Returns the dominant shares of the workspaces, by their names. */
function useByWorkspace(
  jobs: readonly TrackedJob[],
  sessions: readonly EndpointSession[],
): ReadonlyMap<string, WorkspaceUse> {
  const { capacity } = usageOf(sessions);
  const used = usedByJob(sessions);
  const uses = new Map<string, WorkspaceUse>();
  for (const { spec: { id, workspace } } of jobs) {
    if (workspace === undefined) continue;
    const use = uses.get(workspace) ?? { total: 0, largest: 0 };
    const share = dominantShare(used.get(id) ?? noResources, capacity);
    use.total += share;
    use.largest = Math.max(use.largest, share);
    uses.set(workspace, use);
  }
  return uses;
}

/** Returns the larger of the parts that an amount takes of CPU and memory. */
function dominantShare(amount: Resources, capacity: Resources): number {
  return Math.max(
    amount.cpuMillis / Math.max(1, capacity.cpuMillis),
    amount.memoryMb / Math.max(1, capacity.memoryMb),
  );
}

/**
 * Returns the workspaces whose use is far over their share, by name. The largest
 * job of a workspace is left out: a single job is not held against anyone.
 */
function workspacesOverShare(
  jobs: readonly TrackedJob[],
  sessions: readonly EndpointSession[],
  workspaces: WorkspaceDirectory,
): ReadonlySet<string> {
  const uses = useByWorkspace(jobs, sessions);
  const weightOf = (name: string) => workspaces.byName(name)?.weight ?? 0;
  let totalWeight = 0;
  for (const name of uses.keys()) totalWeight += weightOf(name);
  const over = new Set<string>();
  for (const [name, { total, largest }] of uses) {
    const weight = weightOf(name);
    if (weight === 0 || weight === totalWeight) continue;
    const fairShare = weight / totalWeight;
    if (total - largest > farOverShareFactor * fairShare) over.add(name);
  }
  return over;
}

/** Tells how the workspaces of a pool's jobs stand with each of them. */
export class WorkspaceStandings {
  readonly #meter = new WeightMeter();

  /** Names of the workspaces whose next job is beyond their weight now. */
  exhausted(
    wall: number,
    workspaces: WorkspaceDirectory | undefined,
  ): readonly string[] {
    return workspaces === undefined
      ? []
      : this.#meter.exhausted(wall, workspaces);
  }

  /** Returns the standings of jobs at present; without workspaces all equal. */
  current(
    jobs: readonly TrackedJob[],
    sessions: readonly EndpointSession[],
    workspaces: WorkspaceDirectory | undefined,
  ): StandingOf {
    if (workspaces === undefined) return () => standings.withinShare;
    this.#meter.meter(jobs, workspaces);
    const overShare = workspacesOverShare(jobs, sessions, workspaces);
    return (job) => {
      if (this.#meter.isBeyondWeight(job)) return standings.beyondWeight;
      return overShare.has(job.spec.workspace ?? "")
        ? standings.overShare
        : standings.withinShare;
    };
  }
}
