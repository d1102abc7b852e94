/**
 * Advice on which endpoints may run a step, for queues whose policy only an
 * outside service knows.
 */
import type { Result } from "ts-results";

/** An answer about the endpoints that were named. */
export interface Advice {
  /** Tickets of the endpoints that may run the step, by their ids. */
  readonly tickets: ReadonlyMap<string, string>;
  /** Time for which the tickets hold, in ms from the question. */
  readonly validMs: number;
}

/** Gives advice. */
export interface Advisor {
  /**
   * Asks which of the endpoints may run a step. The step is named by its job,
   * occurrence and index; an error says why there is no answer.
   */
  advise(
    step: string,
    endpoints: readonly string[],
  ): Promise<Result<Advice, string>>;
}
