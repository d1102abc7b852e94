/** A clock that tests advance, and a view of it that pauses or dies. */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../src/clock/index.ts";

const wallStart = 1_700_000_000_000;
/** Event-loop turns after each step, in which actors and promises go on. */
const turnsPerStep = 3;

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly f: () => void;
}

/** Virtual time with timers in a fixed order. */
export class VirtualClock implements Clock {
  #now = 0;
  #order = 0;
  #timers: Timer[] = [];

  now(): number {
    return this.#now;
  }

  wall(): number {
    return wallStart + this.#now;
  }

  after(ms: number, f: () => void): () => void {
    const at = this.#now + Math.max(0, ms);
    const timer = { at, order: this.#order++, f };
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
        this.#timers.shift()?.f();
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
  #held: (() => void)[] = [];

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

  after(ms: number, f: () => void): () => void {
    let cancelled = false;
    const stop = this.clock.after(ms, () => {
      this.run(() => {
        if (!cancelled) f();
      });
    });
    return () => {
      cancelled = true;
      stop();
    };
  }

  /** Runs now, after the pause, or never. */
  run(f: () => void): void {
    if (this.#state === "running") f();
    else if (this.#state === "paused") this.#held.push(f);
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
    const held = this.#held;
    this.#held = [];
    for (const f of held) f();
  }

  kill(): void {
    this.#state = "dead";
    this.#held = [];
  }
}
