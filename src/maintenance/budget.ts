/**
 * Availability budgets: how many hosts of a pool must stay available.
 *
 * A host is available while its state is `serving`, the platform lists it as
 * live, it passes its health check, and it is not ejected. Every change that
 * makes a host unavailable writes the pool's budget row, so concurrent changes
 * conflict and each committed change has counted those before it.
 */
import * as v from "valibot";
import { type Host, type HostMap, isServing } from "../hosts/index.ts";
import { Ok, type Result } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";

/** Key prefix of the budget rows, one per pool. */
export const budgetKeyPrefix = "budget/";

/** Schema of a budget row. */
export const budgetRowSchema = v.object({
  pool: v.string(),
  /** Number of changes so far; each change increments it. */
  changes: v.number(),
  /** Ejected hosts. */
  ejected: v.array(v.string()),
});

/** Row that orders the changes of a pool's availability. */
export type BudgetRow = v.InferOutput<typeof budgetRowSchema>;

/** The key of a pool's budget row. */
export function budgetKey(pool: string): string {
  return budgetKeyPrefix + pool;
}

/** The budget row of a pool before its first change. */
export function emptyBudget(pool: string): BudgetRow {
  return { pool, changes: 0, ejected: [] };
}

/** The state of a pool on which a change is decided. */
export interface PoolView {
  readonly pool: string;
  /** Number of hosts that must stay available. */
  readonly budget: number;
  readonly hosts: HostMap;
  /** Hosts that the platform lists as leaving or gone. */
  readonly unlisted: ReadonlySet<string>;
  /** Hosts that failed their health check. */
  readonly failed: ReadonlySet<string>;
  /** Hosts that are ejected from the pool. */
  readonly ejected: ReadonlySet<string>;
}

/** Whether a host counts as available. */
export function isAvailable(view: PoolView, host: Host): boolean {
  return isServing(host) && !view.unlisted.has(host.name) &&
    !view.failed.has(host.name) && !view.ejected.has(host.name);
}

/** Number of available hosts of the pool. */
export function availableHosts(view: PoolView): number {
  let count = 0;
  for (const host of view.hosts.values()) {
    if (host.pool === view.pool && isAvailable(view, host)) count++;
  }
  return count;
}

/**
 * Checks whether a host may become unavailable. A host that is unavailable
 * already needs no budget. Fails with `budgetExceeded`.
 */
export function checkBudget(view: PoolView, host: Host): Result<void, Failure> {
  if (!isAvailable(view, host)) return Ok(undefined);
  const remaining = availableHosts(view) - 1;
  if (remaining >= view.budget) return Ok(undefined);
  return fail(
    codes.budgetExceeded,
    `pool ${view.pool} would keep ${remaining} available hosts; its budget is ${view.budget}`,
  );
}
