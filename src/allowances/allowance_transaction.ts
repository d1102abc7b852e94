/** Transactions that change allowance rows. */
import {
  maxTransactionEntries,
  type StoreCommitOutcome,
  type StoreTransaction,
} from "../store/index.ts";
import {
  type Allowance,
  allowanceKey,
  encodeAllowance,
} from "./allowance_row.ts";
import type { AllowanceView, SeenAllowance } from "./allowance_view.ts";

/** Most rows of one transaction, each with a check and a put or removal. */
export const maxRowsPerTransaction = maxTransactionEntries / 2;

/** A change to the row of a workspace. */
export interface RowChange {
  readonly workspace: string;
  readonly before: SeenAllowance;
  /** The row to write; undefined to remove it. */
  readonly next: Allowance | undefined;
}

/** The transaction that makes changes, if the rows are as they were seen. */
export function transactionOf(
  changes: readonly RowChange[],
): StoreTransaction {
  const checks = changes.map(({ workspace, before: { version } }) => ({
    ...allowanceKey(workspace),
    version,
  }));
  const puts = changes.flatMap(({ workspace, next }) =>
    next === undefined
      ? []
      : [{ ...allowanceKey(workspace), value: encodeAllowance(next) }]
  );
  const removes = changes.filter(({ next }) => next === undefined)
    .map(({ workspace }) => allowanceKey(workspace));
  return { checks, puts, removes };
}

/** Shows a view what the answer to a transaction says of its rows. */
export function showOutcome(
  view: AllowanceView,
  { checks, puts, removes }: StoreTransaction,
  outcome: StoreCommitOutcome,
): void {
  if (outcome.kind === "committed") {
    const { version } = outcome;
    for (const put of puts) view.update({ ...put, version });
    for (const { key } of removes) view.forget(key);
    return;
  }
  const found = new Set(outcome.rows.map(({ key }) => key));
  for (const { key } of checks) if (!found.has(key)) view.forget(key);
  for (const row of outcome.rows) view.update(row);
}
