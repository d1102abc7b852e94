/**
 * Interface to an external advice service that decides which endpoints may run
 * a step, for queues that have one.
 */
import type { Result } from "ts-results";

/** The advice service's answer about the endpoints in a request. */
export interface Advice {
  /** Tickets by endpoint id; endpoints without one must not run the step. */
  readonly tickets: ReadonlyMap<string, string>;
  /** Validity of the tickets, in ms from the time of the request. */
  readonly validMs: number;
}

/** Client of the advice service. */
export interface Advisor {
  /**
   * Asks which of the endpoints may run a step, given its name as formatted by
   * `stepName`. The error is a message that says why there is no answer.
   */
  advise(
    step: string,
    endpoints: readonly string[],
  ): Promise<Result<Advice, string>>;
}
