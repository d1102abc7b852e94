/** Time and random numbers, passed in so that tests decide them. */
import process from "node:process";

/** A source of time and timers. */
export interface Clock {
  /** Monotonic time in ms. */
  now(): number;
  /** Wall-clock time in ms since the Unix epoch. */
  wall(): number;
  /** Calls `f` once after `ms`; the result cancels the call. */
  after(ms: number, f: () => void): () => void;
}

/** A source of random numbers in [0, 1). */
export type Random = () => number;

/** The process's own clock. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, f) {
    const timer = setTimeout(f, ms);
    return () => clearTimeout(timer);
  },
};

/** Waits for a time in ms. */
export function delay(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}

/** Creates identifiers that no other process start repeats. */
export class IdSource {
  #next = 0;

  constructor(readonly incarnation: string) {}

  /** The next identifier. */
  next(): string {
    this.#next++;
    return `${this.incarnation}-${this.#next.toString(36)}`;
  }
}

/** Builds the incarnation of a process start. */
export function newIncarnation(clock: Clock, random: Random): string {
  const time = clock.wall().toString(36);
  const randomPart = Math.floor(random() * 0xffff_ffff).toString(36);
  return `${time}${process.pid.toString(36)}${randomPart}`;
}
