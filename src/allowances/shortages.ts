/**
 * Remembers for a short time what the limits hold back, because passes are more
 * frequent than the ends of tasks.
 */
import type { Shortage } from "./next_allowance.ts";

/** Time for which a shortage counts after a pass without one, in ms. */
const memoryMs = 300;

/**
 * Time for which a pool is short before it takes a task that is larger than
 * what is left, in ms. Others give back meanwhile what they don't use.
 */
const excessDelayMs = 300;

/** A shortage and the monotonic times (ms) since and at which it was seen. */
interface SeenShortage {
  readonly shortage: Shortage;
  readonly since: number;
  readonly at: number;
}

/** The shortages of one pool, by workspace. */
export class Shortages {
  readonly #seen = new Map<string, SeenShortage>();

  /**
   * Takes over what a pass at the monotonic time `now` (ms) has held back.
   * Returns whether a workspace is short that was not before.
   */
  update(shortages: ReadonlyMap<string, Shortage>, now: number): boolean {
    const hasNew = [...shortages.keys()].some((each) => !this.#seen.has(each));
    for (const [workspace, shortage] of shortages) {
      const since = this.#seen.get(workspace)?.since ?? now;
      this.#seen.set(workspace, { shortage, since, at: now });
    }
    for (const [workspace, { at }] of this.#seen) {
      if (now - at > memoryMs) this.#seen.delete(workspace);
    }
    return hasNew;
  }

  /** What the limit of a workspace holds back; undefined for nothing. */
  of(workspace: string): Shortage | undefined {
    return this.#seen.get(workspace)?.shortage;
  }

  /** Whether a task may be taken that is larger than what is left. */
  mayExceed(workspace: string, now: number): boolean {
    const seen = this.#seen.get(workspace);
    return seen !== undefined && now - seen.since >= excessDelayMs;
  }
}
