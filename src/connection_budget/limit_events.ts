/** What happens when a limit is met, and a bounded log of it. */
import type { Clock } from "../clock/index.ts";

/**
 * Which limit was met:
 * - `connections`: an idle or incomplete connection was closed for a new one,
 *   or the new one was closed.
 * - `requests-ahead`: a connection with too many requests ahead was closed.
 * - `held-bytes`: a request was refused, as no memory could be freed for it.
 * - `body-dropped`: an incomplete body was dropped and its request refused.
 * - `answer-dropped`: a connection whose responses aren't read was closed.
 * - `headers-dropped`: a connection with incomplete headers was closed.
 */
export type ClientLimit =
  | "connections"
  | "requests-ahead"
  | "held-bytes"
  | "body-dropped"
  | "answer-dropped"
  | "headers-dropped";

/** Receives each occurrence of a limit. */
export interface LimitEvents {
  /** A limit was met by a client of this address. */
  onLimit(limit: ClientLimit, address: string): void;
}

/** Ignores all occurrences. */
export const noLimitEvents: LimitEvents = { onLimit() {} };

/** What a log line tells about the occurrences since the one before it. */
export interface LimitSummary {
  readonly limit: ClientLimit;
  /** Number of occurrences. */
  readonly count: number;
  /** Address of the client of the last one. */
  readonly address: string;
}

/** Interval between two lines about the same limit, in ms. */
const lineIntervalMs = 1_000;

/**
 * Summarizes occurrences, so that clients can't cause more than one line a
 * second for each limit.
 */
export class LimitSummarizer implements LimitEvents {
  readonly #pending = new Map<ClientLimit, LimitSummary>();

  constructor(
    private readonly clock: Pick<Clock, "after">,
    private readonly write: (summary: LimitSummary) => void,
  ) {}

  onLimit(limit: ClientLimit, address: string): void {
    const count = (this.#pending.get(limit)?.count ?? 0) + 1;
    this.#pending.set(limit, { limit, count, address });
    if (count === 1) {
      this.clock.after(lineIntervalMs, () => this.#writeLine(limit));
    }
  }

  #writeLine(limit: ClientLimit): void {
    const summary = this.#pending.get(limit);
    this.#pending.delete(limit);
    if (summary !== undefined) this.write(summary);
  }
}
