/**
 * Selects hosts to move between pools under high load.
 *
 * Only a queue of urgent requests causes a move. Spare pools give hosts first,
 * then the pool with the most free slots, and none gives more than its budget
 * allows. A host stays in its new pool for a minimum time, and until another
 * pool needs it.
 */
import type { Host, HostMap } from "../hosts/index.ts";

/** Waiting urgent requests per slot above which a pool receives a host. */
const urgentPerSlotThreshold = 0.5;
/** Smallest fraction of free slots at which a pool gives a host away. */
const donorFreeFraction = 0.5;

/** Load of one pool, added up over all entries. */
export interface PoolTotals {
  readonly pool: string;
  /** Whether the pool holds spare hosts for the others. */
  readonly spare: boolean;
  /** Number of hosts that must stay available. */
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

/** The data on which moves are decided. */
export interface MoveInputs {
  readonly pools: readonly PoolTotals[];
  readonly hosts: HostMap;
  /** Busy slots by host. */
  readonly busy: ReadonlyMap<string, number>;
  /** Monotonic time in ms at which each host last changed pools. */
  readonly movedAt: ReadonlyMap<string, number>;
  /** Current monotonic time in ms. */
  readonly now: number;
  /** Minimum time in ms between two moves of a host. */
  readonly minStayMs: number;
}

/**
 * The next move, or undefined when no pool needs a host or none can give one.
 * A pool that is about to receive a host needs no other.
 */
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

/** The pools that may give a host to another, in order of preference. */
function donorPools(
  pools: readonly PoolTotals[],
  to: string,
): readonly PoolTotals[] {
  return pools
    .filter((p) => p.pool !== to && p.queuedUrgent === 0)
    .filter((p) => p.free >= donorFreeFraction * p.slots)
    .sort((a, b) => Number(b.spare) - Number(a.spare) || b.free - a.free);
}

/** The least busy host that may leave a pool, or undefined. */
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
