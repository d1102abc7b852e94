/**
 * Limits of workspaces over all pools: each pool holds an amount of a
 * workspace's limit and starts no more than that.
 */
export {
  type Allowance,
  allowanceKey,
  allowanceTable,
  decodeAllowance,
  encodeAllowance,
  type Holding,
} from "./allowance_row.ts";
export { jobsForHosts } from "./held_back_jobs.ts";
export {
  nextAllowance,
  type PoolNeed,
  shareOf,
  type Shortage,
} from "./next_allowance.ts";
export { PoolAllowances } from "./pool_allowances.ts";
export {
  StartBudget,
  unlimitedBudget,
  type WorkspaceRoom,
} from "./start_budget.ts";
