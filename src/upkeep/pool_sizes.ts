/**
 * Which hosts move between pools.
 *
 * Demand comes in surges of some seconds, by turns of the pools, to several
 * times what a pool holds. So hosts that a pool does not need wait in a
 * standby pool, where they cost nothing, and move to whichever pool needs
 * them. Each pool's owner says how many hosts it wants, and offers endpoints
 * that it keeps empty. An offered host goes to a pool that lacks hosts at
 * once, and into standby after a while.
 *
 * Hosts whose endpoint can't be reached do no work, so they don't count for
 * their pool; and as an availability zone is cut off as a whole, hosts of the
 * zones with the most of them are moved last.
 */
import * as v from "valibot";
import type { Pool } from "../catalog/index.ts";
import type { ListedHost } from "./host_control.ts";

export const poolDemandSchema = v.object({
  /** Hosts that the pool's jobs ask for. */
  want: v.number(),
  /** Endpoints that are empty and get no work; their hosts may move. */
  offered: v.array(v.string()),
  /** Endpoints that don't answer; rows of older releases lack them. */
  silent: v.optional(v.array(v.string()), []),
});

/** What a shard's owner says of its pool. */
export type PoolDemand = v.InferOutput<typeof poolDemandSchema>;

/**
 * Time for which a host must have been offered before it goes into standby,
 * in ms: a surge may still rise again.
 */
const standbyAfterMs = 2_000;

/** What a plan of sizes looks at. */
export interface SizeView {
  readonly pools: readonly Pool[];
  readonly hosts: readonly ListedHost[];
  readonly demands: ReadonlyMap<string, PoolDemand>;
  /** Endpoints that are being emptied for maintenance. */
  readonly vacating: ReadonlySet<string>;
  /** Endpoints of hosts that are up but can't be reached. */
  readonly unreachable: ReadonlySet<string>;
  /** Time for which an endpoint has been offered, in ms. */
  readonly offeredFor: (endpoint: string) => number;
}

/** An order to move a host. */
export interface HostMove {
  readonly host: string;
  readonly endpoint: string;
  readonly from: string;
  readonly to: string;
}

/** Hosts of a pool that take work, or will soon. */
function countPresent(view: SizeView, pool: string): number {
  const offered = new Set(view.demands.get(pool)?.offered);
  return view.hosts.filter((h) =>
    h.pool === pool && (h.state === "up" || h.state === "moving") &&
    !view.vacating.has(h.endpoint) && !offered.has(h.endpoint) &&
    !view.unreachable.has(h.endpoint)
  ).length;
}

/** Pools that lack hosts, a mention for each host, by turns. */
function lackingPools(view: SizeView): readonly string[] {
  const lacking: { readonly pool: string; readonly turn: number }[] = [];
  for (const { name, standby } of view.pools) {
    const demand = view.demands.get(name);
    if (standby || demand === undefined) continue;
    const lacks = demand.want - countPresent(view, name);
    for (let turn = 0; turn < lacks; turn++) lacking.push({ pool: name, turn });
  }
  return lacking.sort((a, b) => a.turn - b.turn).map(({ pool }) => pool);
}

/** Number of unreachable endpoints by availability zone. */
function unreachableByZone(view: SizeView): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { zone, endpoint } of view.hosts) {
    if (!view.unreachable.has(endpoint)) continue;
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
}

/**
 * Hosts whose pool can spare them: idle ones first, then offered ones; of
 * each, those of the zones that are reached best first.
 */
function spareHosts(view: SizeView, standby: string): readonly ListedHost[] {
  const offered = new Set(
    [...view.demands.values()].flatMap((demand) => demand.offered),
  );
  const cut = unreachableByZone(view);
  const up = view.hosts
    .filter((h) =>
      h.state === "up" && !view.vacating.has(h.endpoint) &&
      !view.unreachable.has(h.endpoint)
    )
    .sort((a, b) => (cut.get(a.zone) ?? 0) - (cut.get(b.zone) ?? 0));
  const idle = up.filter((h) => h.pool === standby);
  return [...idle, ...up.filter((h) => offered.has(h.endpoint))];
}

/** Plans moves between the pools, and into standby. */
export function planSizes(view: SizeView): readonly HostMove[] {
  const standby = view.pools.find((pool) => pool.standby)?.name;
  if (standby === undefined) return [];
  const lacking = [...lackingPools(view)];
  const moves: HostMove[] = [];
  for (const { host, endpoint, pool } of spareHosts(view, standby)) {
    const next = lacking.findIndex((name) => name !== pool);
    if (next >= 0) {
      const [to] = lacking.splice(next, 1);
      moves.push({ host, endpoint, from: pool, to });
    } else if (
      pool !== standby && view.offeredFor(endpoint) >= standbyAfterMs
    ) {
      moves.push({ host, endpoint, from: pool, to: standby });
    }
  }
  return moves;
}
