/**
 * Detects pauses of the process by gaps in the monotonic clock.
 *
 * After a pause the entry may have been declared gone, and its hosts may have
 * moved on. It sends nothing to endpoints until its registration and the
 * hosts' rows have been read again.
 */
import type { Clock } from "../clock/index.ts";
import type { SendGuard } from "../pipeline/index.ts";

const tickShare = 0.25;

/** Blocks sending after a pause until `confirm` is called. */
export class PauseGuard implements SendGuard {
  #lastSeen: number;
  #fenced = true;
  #pauses = 0;
  #stop: () => void = () => undefined;

  constructor(
    private readonly clock: Clock,
    private readonly pauseMs: number,
    private readonly paused: () => void,
  ) {
    this.#lastSeen = clock.now();
  }

  /** Begins to watch the clock. */
  start(): void {
    const tickMs = this.pauseMs * tickShare;
    this.#stop = this.clock.after(tickMs, () => {
      this.#look();
      this.start();
    });
  }

  /** Stops watching. */
  stop(): void {
    this.#stop();
  }

  maySend(): boolean {
    this.#look();
    return !this.#fenced;
  }

  /** Number of pauses seen; a confirmation is good for one value of it. */
  get pauses(): number {
    this.#look();
    return this.#pauses;
  }

  /** Lifts the block, if no pause has happened since `pauses` was read. */
  confirm(pauses: number): void {
    this.#look();
    if (pauses === this.#pauses) this.#fenced = false;
  }

  #look(): void {
    const now = this.clock.now();
    const gap = now - this.#lastSeen;
    this.#lastSeen = now;
    if (gap <= this.pauseMs) return;
    this.#fenced = true;
    this.#pauses++;
    this.paused();
  }
}
