/**
 * Availability budgets: how many hosts of a pool may be unavailable at once.
 *
 * A host counts as available while it serves, the platform lists it as live,
 * it answers its health check, and it is not ejected. Every change that makes
 * a host unavailable writes the pool's budget row, so concurrent changes are
 * ordered and each one counts the others.
 */
import * as v from "valibot";
import { type Host, type HostMap, isServing } from "../hosts/index.ts";
import { Ok, type Result } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";

/** Prefix of budget rows, one per pool. */
export const budgetPrefix = "budget/";

export const budgetRowSchema = v.object({
  pool: v.string(),
  /** Number of changes made; written by each of them. */
  changes: v.number(),
  /** Ejected hosts. */
  ejected: v.array(v.string()),
});

export type BudgetRow = v.InferOutput<typeof budgetRowSchema>;

/** The key of a pool's budget row. */
export function budgetKey(pool: string): string {
  return budgetPrefix + pool;
}

/** The budget row of a pool that had no change yet. */
export function emptyBudget(pool: string): BudgetRow {
  return { pool, changes: 0, ejected: [] };
}

/** What is known of a pool when a change is decided. */
export interface PoolView {
  readonly pool: string;
  /** Smallest number of available hosts. */
  readonly budget: number;
  readonly hosts: HostMap;
  /** Hosts that the platform lists as leaving or gone. */
  readonly unlisted: ReadonlySet<string>;
  /** Hosts that failed their health check. */
  readonly failed: ReadonlySet<string>;
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
 * Allows a change that makes a host unavailable. A host that is unavailable
 * already costs nothing. Fails with `budgetExceeded`.
 */
export function checkBudget(view: PoolView, host: Host): Result<void, Failure> {
  if (!isAvailable(view, host)) return Ok(undefined);
  const remaining = availableHosts(view) - 1;
  if (remaining >= view.budget) return Ok(undefined);
  return fail(
    codes.budgetExceeded,
    `pool ${view.pool} would keep ${remaining} available hosts of ${view.budget}`,
  );
}
