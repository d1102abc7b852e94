/**
 * Gives a process a share of the time only: it runs at full speed, and then not
 * at all for the rest of a tenth of a second.
 */

/** Length of a turn, in ms. */
const turnMs = 100;

/** Pauses and resumes the process that it is given. */
export class Throttle {
  #timer: NodeJS.Timeout | undefined;
  #pauseTimer: NodeJS.Timeout | undefined;

  /** `send` sends a signal to the process; `percent` is its share of the time. */
  constructor(
    private readonly percent: number,
    private readonly send: (signal: "SIGSTOP" | "SIGCONT") => void,
  ) {}

  /** Begins to pause the process; a share of 100 percent never does. */
  start(): void {
    if (this.percent >= 100) return;
    this.#timer = setInterval(() => this.#takeTurn(), turnMs);
  }

  /** Ends the pauses. */
  stop(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#pauseTimer);
    this.send("SIGCONT");
  }

  #takeTurn(): void {
    this.send("SIGCONT");
    const runMs = turnMs * this.percent / 100;
    this.#pauseTimer = setTimeout(() => this.send("SIGSTOP"), runMs);
  }
}
