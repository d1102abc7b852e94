/**
 * Detects pauses of the process by gaps in the monotonic clock.
 *
 * After a pause the entry may have been declared gone, and its hosts may have
 * moved on. It sends nothing to endpoints until its registration and the
 * hosts' rows have been read again.
 */
import type { Clock } from "../clock/index.ts";
import type { SendGuard } from "../pipeline/index.ts";

const checkFraction = 0.25;

/** Blocks sending after a pause until `confirm` is called. */
export class PauseGuard implements SendGuard {
  #lastCheckAt: number;
  #blocked = true;
  #pauseCount = 0;
  #stop: () => void = () => undefined;

  constructor(
    private readonly clock: Clock,
    private readonly pauseMs: number,
    private readonly onPause: () => void,
  ) {
    this.#lastCheckAt = clock.now();
  }

  /** Begins to watch the clock. */
  start(): void {
    const checkIntervalMs = this.pauseMs * checkFraction;
    this.#stop = this.clock.after(checkIntervalMs, () => {
      this.#checkForPause();
      this.start();
    });
  }

  /** Stops watching. */
  stop(): void {
    this.#stop();
  }

  maySend(): boolean {
    this.#checkForPause();
    return !this.#blocked;
  }

  /** Number of pauses seen; a confirmation is good for one value of it. */
  get pauseCount(): number {
    this.#checkForPause();
    return this.#pauseCount;
  }

  /** Lifts the block, if no pause has happened since `pauses` was read. */
  unblock(expectedCount: number): void {
    this.#checkForPause();
    if (expectedCount === this.#pauseCount) this.#blocked = false;
  }

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
