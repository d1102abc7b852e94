/**
 * Moves of hosts between pools during surges.
 *
 * Only urgent pressure moves a host. The donor is the spare pool first, then
 * the pool with the largest surplus, and never below its budget. A host stays
 * a minimum time in its new pool and returns only when another pool needs it.
 */
import type { Host, HostMap } from "../hosts/index.ts";

/** Pressure at which a pool receives a host: waiting urgent work per slot. */
const urgentPerSlotThreshold = 0.5;
/** Share of free slots that a donor keeps after the move. */
const donorFreeFraction = 0.5;

/** Load of one pool over all entries. */
export interface PoolTotals {
  readonly pool: string;
  readonly spare: boolean;
  /** Smallest number of serving hosts. */
  readonly budget: number;
  readonly slots: number;
  readonly free: number;
  /** Waiting urgent requests. */
  readonly queuedUrgent: number;
}

/** A host that should change pools. */
export interface PoolMove {
  readonly host: string;
  readonly from: string;
  readonly to: string;
}

/** What moves are decided on. */
export interface MoveInputs {
  readonly pools: readonly PoolTotals[];
  readonly hosts: HostMap;
  /** Busy slots by host. */
  readonly busy: ReadonlyMap<string, number>;
  /** Monotonic time in ms at which each host last changed pools. */
  readonly movedAt: ReadonlyMap<string, number>;
  readonly now: number;
  readonly minStayMs: number;
}

/** The next move, or undefined when no pool needs or can give a host. */
export function nextMove(inputs: MoveInputs): PoolMove | undefined {
  const overloaded = inputs.pools
    .filter((p) =>
      p.queuedUrgent > urgentPerSlotThreshold * Math.max(1, p.slots)
    )
    .sort((a, b) => urgentPerSlot(b) - urgentPerSlot(a));
  for (const to of overloaded) {
    const incoming = [...inputs.hosts.values()]
      .some((h) => h.state === "draining" && h.target === to.pool);
    if (incoming) continue;
    for (const from of donorPools(inputs.pools, to.pool)) {
      const host = leastBusyHost(inputs, from);
      if (host !== undefined) {
        return { host: host.name, from: from.pool, to: to.pool };
      }
    }
  }
  return undefined;
}

function urgentPerSlot(pool: PoolTotals): number {
  return pool.queuedUrgent / Math.max(1, pool.slots);
}

function donorPools(
  pools: readonly PoolTotals[],
  to: string,
): readonly PoolTotals[] {
  return pools
    .filter((p) => p.pool !== to && p.queuedUrgent === 0)
    .filter((p) => p.free >= donorFreeFraction * p.slots)
    .sort((a, b) => Number(b.spare) - Number(a.spare) || b.free - a.free);
}

function leastBusyHost(inputs: MoveInputs, from: PoolTotals): Host | undefined {
  const serving = [...inputs.hosts.values()]
    .filter((h) => h.pool === from.pool && h.state === "serving");
  if (serving.length <= from.budget) return undefined;
  const movable = serving.filter((h) => {
    const movedAt = inputs.movedAt.get(h.name) ?? -Infinity;
    return inputs.now - movedAt >= inputs.minStayMs;
  });
  const busy = (h: Host) => inputs.busy.get(h.name) ?? 0;
  return movable.sort((a, b) =>
    busy(a) - busy(b) || a.name.localeCompare(b.name)
  )[0];
}
