/**
 * When the passes of placement take place: soon after something has changed,
 * but the less often the more jobs there are, so that the passes of an
 * overload leave the processor to orders and leases.
 */
import type { Clock } from "../clock/index.ts";

/** Least time between two passes, in ms. */
const minSpacingMs = 10;

/** The same for each job that is not done, in ms. */
const spacingPerJobMs = 0.03;

/** Most of such a time, in ms. */
const maxSpacingMs = 100;

/** Least time between two passes over that many jobs, in ms. */
function passSpacingMs(openJobs: number): number {
  const spacing = Math.max(minSpacingMs, openJobs * spacingPerJobMs);
  return Math.min(maxSpacingMs, spacing);
}

/** Calls for the passes of one shard. */
export class PlanTimer {
  #isPending = false;
  #isStopped = false;
  #lastPassAt = -Infinity;

  /** `jobs` counts those that are not done. */
  constructor(
    private readonly clock: Clock,
    private readonly countOpenJobs: () => number,
    private readonly pass: () => void,
  ) {}

  /** Asks for a pass soon; one is enough for all that ask before it. */
  want(): void {
    if (this.#isPending || this.#isStopped) return;
    this.#isPending = true;
    const at = this.#lastPassAt + passSpacingMs(this.countOpenJobs());
    const wait = Math.max(0, at - this.clock.now());
    this.clock.after(wait, () => this.#runPass());
  }

  /** No pass begins any more. */
  stop(): void {
    this.#isStopped = true;
  }

  #runPass(): void {
    this.#isPending = false;
    if (this.#isStopped) return;
    this.#lastPassAt = this.clock.now();
    this.pass();
  }
}
