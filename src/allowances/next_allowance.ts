/**
 * Decides what a pool holds of a workspace's limit.
 *
 * The sum of the holdings never passes the limit by a decision made here, but
 * for one task: a pool whose next task is larger than what is left may take it
 * as long as the others' holdings and its own usage are below the limit. A pool
 * that has more running than it holds declares this. So after a limit was
 * lowered the sum may be larger, and shrinks as runs end.
 */
import {
  addResources,
  noResources,
  type Resources,
  subtractResources,
} from "../batch/index.ts";
import type { Allowance } from "./allowance_row.ts";
import { heldByOthers, holdingOf } from "./allowance_row.ts";
import {
  amountsOf,
  exceeds,
  isSameAmount,
  limitedNeeds,
  type ResourceName,
} from "./amounts.ts";

/**
 * Part of its even share of the limit that a pool takes ahead of need, so that
 * few transactions are made while a workspace is far below its limit.
 */
const chunkShare = 0.5;

/** What a pool could start but for the limit. */
export interface Shortage {
  /** Resources of all tasks that the limit holds back. */
  readonly total: Resources;
  /** Resources of those that start first: a task, or all tasks of a gang. */
  readonly first: Resources;
  /** Resources of one task of them. */
  readonly task: Resources;
}

/** What a pool's owner knows about a workspace. */
export interface PoolNeed {
  readonly workspace: string;
  readonly pool: string;
  /** Fencing token of the owner. */
  readonly term: number;
  /** Resources of all runs that may be in progress. */
  readonly usage: Resources;
  /** Undefined if the limit holds nothing back. */
  readonly shortage: Shortage | undefined;
  /** Whether a task may be taken that is larger than what is left. */
  readonly mayExceed: boolean;
  /** The limit in the owner's catalog. */
  readonly limit: Resources;
  /** Version of that catalog. */
  readonly catalogVersion: number;
  /** Pools of that catalog that run jobs. */
  readonly servingPools: readonly string[];
  /** Pools without runs: their holdings and declarations no longer count. */
  readonly gonePools: ReadonlySet<string>;
}

/** The parts of a decision on one pool's holding. */
interface HoldingDecision {
  readonly need: PoolNeed;
  readonly limit: Resources;
  /** What the pool holds now. */
  readonly held: Resources;
  /** What the other pools hold. */
  readonly others: Resources;
  /** Number of other pools that are short. */
  readonly shortPools: number;
  /** Whether an earlier owner has taken what is held. */
  readonly isInherited: boolean;
  /** Whether all pools have declared what they have running. */
  readonly isDeclared: boolean;
}

/** The first row of a workspace: all pools still have to declare their runs. */
function firstAllowance(need: PoolNeed): Allowance {
  return {
    workspace: need.workspace,
    limit: need.limit,
    limitVersion: need.catalogVersion,
    holdings: [],
    shortPools: [],
    undeclaredPools: [...need.servingPools],
  };
}

/**
 * Usage of a pool from which it leaves the rest of a limit to others that are
 * short; undefined while none is.
 */
export function shareOf(
  { limit, shortPools }: Allowance,
  pool: string,
): Resources | undefined {
  const others = shortPools.filter((each) => each !== pool).length;
  if (others === 0) return undefined;
  return amountsOf((name) => evenShare(limit[name], others + 1));
}

/** The even share of a limit while some pools compete for it. */
function evenShare(limit: number, pools: number): number {
  return Math.floor(limit / pools);
}

/** What a pool is to hold of one resource, without an excess. */
function targetOf(decision: HoldingDecision, name: ResourceName): number {
  const { need, limit: { [name]: limit }, shortPools, isInherited } = decision;
  if (limit === 0) return 0;
  const usage = need.usage[name];
  const held = decision.held[name];
  const room = limit - decision.others[name];
  const wanted = usage + (need.shortage?.total[name] ?? 0);
  if (!decision.isDeclared) return Math.max(usage, Math.min(held, wanted));
  if (shortPools > 0) {
    const share = evenShare(limit, shortPools + 1);
    // A pool that uses less than its share may go beyond it for its next task.
    const first = usage < share ? need.shortage?.first[name] ?? 0 : 0;
    const cap = Math.max(share, usage + first);
    return Math.max(usage, Math.min(wanted, cap, room));
  }
  if (isInherited || held > room) {
    return Math.max(usage, Math.min(wanted, room));
  }
  if (wanted <= held) return held;
  const chunk = evenShare(limit * chunkShare, need.servingPools.length);
  return Math.max(usage, held, Math.min(wanted + chunk, room));
}

/**
 * Adds what the first tasks need beyond the limit, if they may start: with all
 * of them but one task the workspace would be below its limit.
 */
function withExcess(decision: HoldingDecision, target: Resources): Resources {
  const { need, limit, others, isDeclared } = decision;
  const { shortage, usage, mayExceed } = need;
  if (shortage === undefined || !mayExceed || !isDeclared) return target;
  const needed = addResources(usage, shortage.first);
  const withOthers = addResources(others, needed);
  if (!exceeds(withOthers, limit)) return target;
  const withoutTask = subtractResources(withOthers, shortage.task);
  const names = limitedNeeds(limit, shortage.task);
  if (names.some((name) => withoutTask[name] >= limit[name])) return target;
  return amountsOf((name) =>
    names.includes(name) ? Math.max(target[name], needed[name]) : target[name]
  );
}

/** Whether a pool's holding leaves out something that the limit holds back. */
function isShort(
  { usage, shortage }: PoolNeed,
  limit: Resources,
  amount: Resources,
): boolean {
  if (shortage === undefined) return false;
  const wanted = addResources(usage, shortage.total);
  return limitedNeeds(limit, shortage.total)
    .some((name) => amount[name] < wanted[name]);
}

/** Whether two states of a row say the same. */
function isSameAllowance(a: Allowance, b: Allowance): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

/** Returns an amount with 0 for each resource that is not limited. */
function limitedPart(amount: Resources, limit: Resources): Resources {
  return amountsOf((name) => limit[name] === 0 ? 0 : amount[name]);
}

/**
 * Returns the row that a pool's owner is to write, given the present one;
 * undefined if it has nothing to change, or if a later owner of the pool has
 * changed the row.
 */
export function nextAllowance(
  row: Allowance | undefined,
  need: PoolNeed,
): Allowance | undefined {
  const { pool, term, servingPools, gonePools } = need;
  if (!servingPools.includes(pool)) return undefined;
  const own = row && holdingOf(row, pool);
  if (own !== undefined && own.term > term) return undefined;
  const base = row ?? firstAllowance(need);
  const isNewLimit = need.catalogVersion > base.limitVersion &&
    !isSameAmount(need.limit, base.limit);
  const limit = isNewLimit ? need.limit : base.limit;
  const counted = base.holdings.filter((each) => !gonePools.has(each.pool));
  const undeclaredPools = base.undeclaredPools.filter((each) =>
    each !== pool && !gonePools.has(each)
  );
  const shortPools = base.shortPools.filter((each) =>
    each !== pool && servingPools.includes(each)
  );
  const decision: HoldingDecision = {
    need,
    limit,
    held: own?.amount ?? noResources,
    others: heldByOthers({ ...base, holdings: counted }, pool),
    shortPools: shortPools.length,
    isInherited: own !== undefined && own.term < term,
    isDeclared: undeclaredPools.length === 0,
  };
  const target = amountsOf((name) => targetOf(decision, name));
  const amount = limitedPart(withExcess(decision, target), limit);
  const holdings = counted.filter((each) => each.pool !== pool);
  if (!isSameAmount(amount, noResources)) {
    holdings.push({ pool, term, amount });
  }
  const next: Allowance = {
    workspace: base.workspace,
    limit,
    limitVersion: isNewLimit ? need.catalogVersion : base.limitVersion,
    holdings: holdings.sort((a, b) => a.pool < b.pool ? -1 : 1),
    shortPools: isShort(need, limit, amount)
      ? [...shortPools, pool].sort()
      : shortPools,
    undeclaredPools,
  };
  return row !== undefined && isSameAllowance(row, next) ? undefined : next;
}
