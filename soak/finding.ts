/** A broken rule, and how it is counted. */

/** Parts of the rules; a rule's parts are counted one by one. */
export type RulePart =
  | "overlap"
  | "overlap by a late order"
  | "after done"
  | "shown as failed"
  | "shown as cancelled"
  | "shown as completed"
  | "answered 410"
  | "unknown in the end"
  | "no answer in the end"
  | "nothing runs in the end"
  | "lasting task does not run in the end"
  | "lasting task does not run in a calm time"
  | "lower fence after a higher one"
  | "own end";

/** A broken rule. */
export interface Finding {
  /** `FAULT`: an entry has ended by itself. */
  readonly rule: "TWICE" | "LOST" | "MIXED" | "ONE" | "FAULT";
  readonly part: RulePart;
  /** Id of the job, or the name of the host or entry. */
  readonly job: string;
  /** The task, if the finding is about one. */
  readonly task?: string;
  /** Time of the play, in ms. */
  readonly at: number;
  readonly text: string;
}

/** How often a part of a rule was broken. */
export interface PartCount {
  readonly rule: Finding["rule"];
  readonly part: RulePart;
  readonly count: number;
}

/** Counts findings by rule and part, in the order of their first finding. */
export function countParts(findings: readonly Finding[]): readonly PartCount[] {
  const counts = new Map<RulePart, PartCount>();
  for (const { rule, part } of findings) {
    const count = (counts.get(part)?.count ?? 0) + 1;
    counts.set(part, { rule, part, count });
  }
  return [...counts.values()];
}
