/** Where decisions are told, so that a failed job can be traced to its cause. */

/** Fields of one decision: its inputs, their age or version, the outcome. */
export type DecisionFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Receives one line for each decision. */
export interface DecisionLog {
  decision(event: string, fields: DecisionFields): void;
}
