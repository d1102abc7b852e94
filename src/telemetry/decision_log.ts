/** The log of scheduling decisions, used to trace a failed job to its cause. */

/**
 * Fields of one decision: its inputs, their age or version, and its outcome.
 */
export type DecisionFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one log line per decision. */
export interface DecisionLog {
  /** Logs a decision under the name of its event. */
  decision(event: string, fields: DecisionFields): void;
}
