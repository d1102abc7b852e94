/** Sources of time, random numbers and ids, which tests can replace. */
import process from "node:process";

/** A source of time and timers. */
export interface Clock {
  /** Monotonic time in ms. */
  now(): number;
  /** Wall-clock time in ms since the Unix epoch. */
  wall(): number;
  /** Calls `f` once after `ms`; the returned function cancels the call. */
  after(ms: number, f: () => void): () => void;
}

/** A source of random numbers in [0, 1). */
export type Random = () => number;

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, f) {
    const timer = setTimeout(f, ms);
    return () => clearTimeout(timer);
  },
};

/** Resolves after `ms` on the clock. */
export function delay(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}

/** Generates ids that are unique across processes and restarts. */
export class IdSource {
  #next = 0;

  constructor(
    /** Id of the process start, which prefixes every id. */
    readonly incarnation: string,
  ) {}

  /** Returns a new id. */
  next(): string {
    this.#next++;
    return `${this.incarnation}-${this.#next.toString(36)}`;
  }
}

/**
 * Creates an incarnation: an id that distinguishes one start of the process
 * from any other. It consists of the wall-clock time, the process id and a
 * random number.
 */
export function newIncarnation(clock: Clock, random: Random): string {
  const time = clock.wall().toString(36);
  const randomPart = Math.floor(random() * 0xffff_ffff).toString(36);
  return `${time}${process.pid.toString(36)}${randomPart}`;
}
