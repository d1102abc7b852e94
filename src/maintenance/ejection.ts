/**
 * Ejection of hosts that fail most of their work. An ejection is a change of
 * the pool's budget row, so ejections, drains, and moves share one budget.
 */
import { Ok, type Result } from "ts-results";
import { auditWrite } from "../audit/index.ts";
import { codes, fail, type Failure } from "../errors/index.ts";
import type { DecodedRow, PlatformRowWrite } from "../platform/index.ts";
import type { ChangeContext } from "../table/index.ts";
import { type BudgetRow, checkBudget } from "./budget.ts";
import {
  type DrainDependencies,
  isStale,
  readDecisionInputs,
} from "./drain.ts";

/** Name of an ejection's audit record, or of a reinstatement's. */
type EjectionAction = "host.eject" | "host.reinstate";

/**
 * Marks a host as ejected if its pool's budget allows it. Does nothing when the
 * host is ejected already. Fails as a drain does.
 */
export async function ejectFromPool(
  deps: DrainDependencies,
  host: string,
  ctx: ChangeContext,
): Promise<Result<void, Failure>> {
  return await setEjected(deps, host, ctx, "host.eject");
}

/**
 * Removes the ejected mark of a host that has recovered. Fails as a drain does,
 * but for `budgetExceeded`.
 */
export async function reinstateInPool(
  deps: DrainDependencies,
  host: string,
  ctx: ChangeContext,
): Promise<Result<void, Failure>> {
  return await setEjected(deps, host, ctx, "host.reinstate");
}

async function setEjected(
  deps: DrainDependencies,
  host: string,
  ctx: ChangeContext,
  action: EjectionAction,
): Promise<Result<void, Failure>> {
  const inputs = await readDecisionInputs(deps, { host });
  if (inputs.err) return inputs;
  const { budget, view, checks } = inputs.val;
  const isEjection = action === "host.eject";
  if (budget.value.ejected.includes(host) === isEjection) return Ok(undefined);
  if (isEjection) {
    const budgetCheck = deps.checkBudget ?? checkBudget;
    const allowed = budgetCheck(view, inputs.val.host.value);
    if (allowed.err) return allowed;
  }
  if (isStale(deps, inputs.val)) {
    return fail(
      codes.stateConflict,
      `the data on host ${host} is too old to decide on`,
    );
  }
  const outcome = await deps.platform.table.commit({
    operation: ctx.operation,
    checks,
    writes: ejectionWrites(budget, host, ctx, action),
  });
  if (outcome.err) return outcome;
  if (outcome.val.kind === "committed") return Ok(undefined);
  return fail(
    codes.stateConflict,
    `pool of host ${host} was changed by another writer`,
  );
}

/** The pool's budget row after the change, and its audit record. */
function ejectionWrites(
  budget: DecodedRow<BudgetRow>,
  host: string,
  ctx: ChangeContext,
  action: EjectionAction,
): readonly PlatformRowWrite[] {
  const before = budget.value;
  const others = before.ejected.filter((name) => name !== host);
  const after: BudgetRow = {
    ...before,
    changes: before.changes + 1,
    ejected: action === "host.eject" ? [...others, host] : others,
  };
  return [
    { key: budget.key, value: after },
    auditWrite({
      at: ctx.at,
      who: ctx.who,
      action,
      subject: `host ${host}`,
      before: before.ejected,
      after: after.ejected,
      operation: ctx.operation,
    }),
  ];
}
