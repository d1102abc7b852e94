/**
 * Room for tasks that leave the hosts of a maintenance wave ahead of their turn.
 *
 * A step with an availability budget moves its tasks one after another, each to a
 * host that stays up. A pool of the right size has no room for them there. So it
 * takes further hosts for the tasks that may move at once, and gives for each a
 * host of the wave that is empty by then. It never has more than these on top.
 */
import type { PoolEndpoint } from "./pool_state.ts";

/**
 * Further hosts for each task that may move at once: one that takes the task, and
 * one on the way for the next, because a host takes longer to come than a task
 * to move.
 */
const hostsPerMove = 2;

/** Hosts that a pool exchanges for the tasks that leave hosts of a wave. */
export interface Relocations {
  /** Hosts that the pool wants beside those for its work. */
  readonly extraHosts: number;
  /** Empty hosts of the wave that it gives for them. */
  readonly replaceableHosts: number;
}

const noRelocations: Relocations = { extraHosts: 0, replaceableHosts: 0 };

/** Plans the relocations of a pool from its endpoints. */
export function planRelocations(
  endpoints: readonly PoolEndpoint[],
): Relocations {
  const leaving = endpoints.filter((e) => e.isOpen && e.awaitsVacate);
  const holding = leaving.filter((each) => each.budgets.size > 0);
  if (holding.length === 0) return noRelocations;
  const budgets = new Map(holding.flatMap(({ budgets }) => [...budgets]));
  const movesAtOnce = [...budgets.values()].reduce((sum, each) => sum + each);
  const extraHosts = Math.min(holding.length, hostsPerMove * movesAtOnce);
  const empty = leaving.filter((each) => each.runCount === 0);
  return {
    extraHosts,
    replaceableHosts: Math.min(extraHosts, empty.length),
  };
}
