/**
 * A virtual clock that tests advance, and per-process views of it that can be
 * paused or killed.
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../src/clock/index.ts";

/** Wall-clock time at virtual time 0, in ms since the Unix epoch. */
const wallStartMs = 1_700_000_000_000;

/**
 * Event-loop turns after each advance of the clock, in which actors and pending
 * promises make progress.
 */
const turnsPerStep = 3;

/** A pending timer, due at a virtual time in ms. */
interface Timer {
  readonly at: number;
  /** Order of creation. */
  readonly sequence: number;
  readonly callback: () => void;
}

/**
 * Virtual time. Timers that are due at the same time fire in the order of their
 * creation, so that runs are reproducible.
 */
export class VirtualClock implements Clock {
  #now = 0;
  #nextSequence = 0;
  #timers: Timer[] = [];

  now(): number {
    return this.#now;
  }

  wall(): number {
    return wallStartMs + this.#now;
  }

  after(ms: number, callback: () => void): () => void {
    const at = this.#now + Math.max(0, ms);
    const timer = { at, sequence: this.#nextSequence++, callback };
    this.#insert(timer);
    return () => {
      const index = this.#timers.indexOf(timer);
      if (index >= 0) this.#timers.splice(index, 1);
    };
  }

  /** Advances the time by `ms` and fires each timer that becomes due. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    while (this.#timers.length > 0 && this.#timers[0].at <= end) {
      this.#now = Math.max(this.#now, this.#timers[0].at);
      while (this.#timers.length > 0 && this.#timers[0].at <= this.#now) {
        this.#timers.shift()?.callback();
      }
      await this.flush();
    }
    this.#now = end;
  }

  /** Lets actors and pending promises make progress at the current time. */
  async flush(): Promise<void> {
    for (let i = 0; i < turnsPerStep; i++) await nextTurn();
  }

  /** Inserts a timer after all that are due no later than it. */
  #insert(timer: Timer): void {
    let low = 0;
    let high = this.#timers.length;
    while (low < high) {
      const mid = (low + high) >> 1;
      const other = this.#timers[mid];
      if (other.at <= timer.at) low = mid + 1;
      else high = mid;
    }
    this.#timers.splice(low, 0, timer);
  }
}

/**
 * One process's view of the clock. While the process is paused, its timers and
 * answers are deferred until it resumes; once it is dead, they are dropped.
 */
export class ProcessClock implements Clock {
  #state: "running" | "paused" | "dead" = "running";
  #deferred: (() => void)[] = [];

  constructor(private readonly clock: VirtualClock) {}

  now(): number {
    return this.clock.now();
  }

  wall(): number {
    return this.clock.wall();
  }

  get isDead(): boolean {
    return this.#state === "dead";
  }

  get isPaused(): boolean {
    return this.#state === "paused";
  }

  after(ms: number, callback: () => void): () => void {
    let cancelled = false;
    const cancelTimer = this.clock.after(ms, () => {
      this.runOrDefer(() => {
        if (!cancelled) callback();
      });
    });
    return () => {
      cancelled = true;
      cancelTimer();
    };
  }

  /**
   * Calls `callback` now, on resume if the process is paused, or never if it is
   * dead.
   */
  runOrDefer(callback: () => void): void {
    if (this.#state === "running") callback();
    else if (this.#state === "paused") this.#deferred.push(callback);
  }

  /**
   * Settles as `promise` does, but only while this process runs: later if it is
   * paused, never if it is dead.
   */
  deliver<T>(promise: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      promise.then(
        (value) => this.runOrDefer(() => resolve(value)),
        (err) => this.runOrDefer(() => reject(err)),
      );
    });
  }

  /** Pauses a running process. */
  pause(): void {
    if (this.#state === "running") this.#state = "paused";
  }

  /** Resumes a paused process and runs what was deferred, in order. */
  resume(): void {
    if (this.#state !== "paused") return;
    this.#state = "running";
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const callback of deferred) callback();
  }

  /** Kills the process for good. */
  kill(): void {
    this.#state = "dead";
    this.#deferred = [];
  }
}
