/** A clock that tests advance, and a view of it that pauses or dies. */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../src/clock/index.ts";

const wallStartMs = 1_700_000_000_000;
/** Event-loop turns after each step, in which actors and promises go on. */
const turnsPerStep = 3;

interface Timer {
  readonly at: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** Virtual time with timers in a fixed order. */
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

  /** Lets time pass, firing every timer that is due. */
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

  /** Lets actors and promises go on without a passing of time. */
  async flush(): Promise<void> {
    for (let i = 0; i < turnsPerStep; i++) await nextTurn();
  }

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

/** One process's view of the clock: paused, its timers wait; dead, they end. */
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
      this.run(() => {
        if (!cancelled) callback();
      });
    });
    return () => {
      cancelled = true;
      cancelTimer();
    };
  }

  /** Runs now, after the pause, or never. */
  run(callback: () => void): void {
    if (this.#state === "running") callback();
    else if (this.#state === "paused") this.#deferred.push(callback);
  }

  /** Settles like a promise whose answer reaches this process. */
  deliver<T>(promise: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      promise.then(
        (value) => this.run(() => resolve(value)),
        (err) => this.run(() => reject(err)),
      );
    });
  }

  pause(): void {
    if (this.#state === "running") this.#state = "paused";
  }

  resume(): void {
    if (this.#state !== "paused") return;
    this.#state = "running";
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const callback of deferred) callback();
  }

  kill(): void {
    this.#state = "dead";
    this.#deferred = [];
  }
}
