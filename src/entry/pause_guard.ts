/**
 * Detects pauses of the process by gaps in the monotonic clock.
 *
 * After a pause, the other entries may have removed this entry's registration,
 * and its hosts may have other owners. Therefore it sends nothing to endpoints
 * until it has read its registration and the host rows again.
 */
import type { Clock } from "../clock/index.ts";
import type { SendGuard } from "../pipeline/index.ts";

/** Interval between two checks of the clock, as a fraction of `pauseMs`. */
const checkFraction = 0.25;

/** Blocks sending at the start and after a pause, until `unblock` is called. */
export class PauseGuard implements SendGuard {
  #lastCheckAt: number;
  #blocked = true;
  #pauseCount = 0;
  #cancelTimer: () => void = () => undefined;

  constructor(
    private readonly clock: Clock,
    /** Gap in ms beyond which the process counts as paused. */
    private readonly pauseMs: number,
    private readonly onPause: () => void,
  ) {
    this.#lastCheckAt = clock.now();
  }

  /** Starts to check the clock at intervals. */
  start(): void {
    const checkIntervalMs = this.pauseMs * checkFraction;
    this.#cancelTimer = this.clock.after(checkIntervalMs, () => {
      this.#checkForPause();
      this.start();
    });
  }

  /** Stops the checks. */
  stop(): void {
    this.#cancelTimer();
  }

  /** Whether requests may be sent to endpoints. */
  maySend(): boolean {
    this.#checkForPause();
    return !this.#blocked;
  }

  /** Number of pauses detected so far, to pass to `unblock`. */
  get pauseCount(): number {
    this.#checkForPause();
    return this.#pauseCount;
  }

  /** Lifts the block unless a pause was detected since the count was read. */
  unblock(expectedCount: number): void {
    this.#checkForPause();
    if (expectedCount === this.#pauseCount) this.#blocked = false;
  }

  /** Blocks sending when the last check was more than `pauseMs` ago. */
  #checkForPause(): void {
    const now = this.clock.now();
    const gap = now - this.#lastCheckAt;
    this.#lastCheckAt = now;
    if (gap <= this.pauseMs) return;
    this.#blocked = true;
    this.#pauseCount++;
    this.onPause();
  }
}
