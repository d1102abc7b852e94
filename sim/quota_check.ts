/**
 * Checks at each start what a workspace has running on all endpoints against
 * its limit: the highest that was in force a short time ago, a tenth more, and
 * one task. It knows only what endpoints run and what the operator has sent.
 */
import {
  addResources,
  noResources,
  type Resources,
  subtractResources,
} from "../src/batch/index.ts";

/** Time for which an earlier limit may still be in force, in ms. */
const limitApplyMs = 3_000;

/** Share of a limit by which it may be exceeded. */
const excessShare = 0.1;

/** A limit and the time from which it is in force, in ms. */
interface SetLimit {
  readonly limit: Resources;
  readonly since: number;
}

const names = ["cpuMillis", "memoryMb", "gpus"] as const;

/** Adds up what workspaces have running. */
export class QuotaCheck {
  /** Limits of each workspace, the oldest first. */
  readonly #limits = new Map<string, SetLimit[]>();
  readonly #running = new Map<string, Resources>();
  /**
   * Further time for which an earlier limit counts, in ms: that for which an
   * order may be on its way to an endpoint.
   */
  maxOrderDelayMs = 0;

  constructor(private readonly now: () => number) {}

  /** Records a limit that the operator has sent; 0 is none. */
  limitSet(workspace: string, limit: Resources): void {
    const limits = this.#limits.get(workspace) ?? [];
    this.#limits.set(workspace, [...limits, { limit, since: this.now() }]);
  }

  /** What a workspace has running. */
  running(workspace: string): Resources {
    return this.#running.get(workspace) ?? noResources;
  }

  /** Whether a workspace has under half of its present limit running. */
  isUnderHalf(workspace: string): boolean {
    const limit = this.#limits.get(workspace)?.at(-1)?.limit ?? noResources;
    const running = this.running(workspace);
    return names.every((name) =>
      limit[name] === 0 || 2 * running[name] < limit[name]
    );
  }

  /** Records the start of a task; returns what is wrong with it, if anything. */
  started(workspace: string, demand: Resources): string | undefined {
    const before = this.running(workspace);
    this.#running.set(workspace, addResources(before, demand));
    const limits = this.#recentLimits(workspace);
    const broken = names.find((name) => {
      const highest = Math.max(...limits.map((limit) => limit[name]));
      const isUnlimited = limits.some((limit) => limit[name] === 0);
      return !isUnlimited && demand[name] > 0 &&
        before[name] > highest * (1 + excessShare);
    });
    return broken &&
      `${workspace} had ${before[broken]} ${broken} running before a start`;
  }

  /** Records the end of a task's run. */
  ended(workspace: string, demand: Resources): void {
    const running = subtractResources(this.running(workspace), demand);
    this.#running.set(workspace, running);
  }

  /** The limits that may be in force. */
  #recentLimits(workspace: string): readonly Resources[] {
    const limits = this.#limits.get(workspace) ?? [];
    const from = this.now() - limitApplyMs - this.maxOrderDelayMs;
    const recent = limits.filter((_, i) => {
      const next = limits[i + 1];
      return next === undefined || next.since >= from;
    });
    return recent.length > 0 ? recent.map(({ limit }) => limit) : [noResources];
  }
}
