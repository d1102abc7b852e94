/**
 * Schedules placement passes. A pass runs soon after a change, but the more
 * jobs are open, the longer the interval between passes: in an overload, passes
 * must leave CPU time for orders and leases.
 */
import type { Clock } from "../clock/index.ts";

/** Minimum interval between two passes, in ms. */
const minSpacingMs = 10;

/** Part of the interval that each open job adds, in ms. */
const spacingPerJobMs = 0.03;

/** Maximum interval between two passes, in ms. */
const maxSpacingMs = 100;

/** Returns the interval between two passes with that many open jobs, in ms. */
function passSpacingMs(openJobs: number): number {
  const spacing = Math.max(minSpacingMs, openJobs * spacingPerJobMs);
  return Math.min(maxSpacingMs, spacing);
}

/** Runs the placement passes of one shard on request. */
export class PassTimer {
  #isPending = false;
  #isStopped = false;
  #lastPassAt = -Infinity;

  /**
   * `countOpenJobs` returns the number of jobs that are not done; `pass` runs
   * one pass.
   */
  constructor(
    private readonly clock: Clock,
    private readonly countOpenJobs: () => number,
    private readonly pass: () => void,
  ) {}

  /** Requests a pass; requests made before it starts share the same pass. */
  request(): void {
    if (this.#isPending || this.#isStopped) return;
    this.#isPending = true;
    const at = this.#lastPassAt + passSpacingMs(this.countOpenJobs());
    const wait = Math.max(0, at - this.clock.now());
    this.clock.after(wait, () => this.#runPass());
  }

  /** Stops the timer: no further pass starts, even if one was requested. */
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
