/** Waiting and the clock of a play. */

/** Resolves after `ms`. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** The time of a play, in ms since its start, with fractions. */
export class PlayClock {
  readonly #startedAt = performance.now();

  /** Time since the start of the play, in ms. */
  get now(): number {
    return performance.now() - this.#startedAt;
  }

  /** Resolves at a time of the play, at once if it is over. */
  until(at: number): Promise<void> {
    return pause(Math.max(0, at - this.now));
  }
}
