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
export interface HostMoveInput {
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
function countUsableHosts(input: HostMoveInput, pool: string): number {
  const offered = new Set(input.demands.get(pool)?.offered);
  return input.hosts.filter((h) =>
    h.pool === pool && (h.state === "up" || h.state === "moving") &&
    !input.vacating.has(h.endpoint) && !offered.has(h.endpoint) &&
    !input.unreachable.has(h.endpoint)
  ).length;
}

/** Pools that lack hosts, a mention for each host, by turns. */
function poolsShortOfHosts(input: HostMoveInput): readonly string[] {
  const needs: { readonly pool: string; readonly turn: number }[] = [];
  for (const { name, standby } of input.pools) {
    const demand = input.demands.get(name);
    if (standby || demand === undefined) continue;
    const missing = demand.want - countUsableHosts(input, name);
    for (let turn = 0; turn < missing; turn++) needs.push({ pool: name, turn });
  }
  return needs.sort((a, b) => a.turn - b.turn).map(({ pool }) => pool);
}

/** Number of unreachable endpoints by availability zone. */
function unreachableByZone(input: HostMoveInput): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { zone, endpoint } of input.hosts) {
    if (!input.unreachable.has(endpoint)) continue;
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
}

/**
 * Hosts whose pool can spare them: idle ones first, then offered ones; of
 * each, those of the zones that are reached best first.
 */
function movableHosts(
  input: HostMoveInput,
  standby: string,
): readonly ListedHost[] {
  const offered = new Set(
    [...input.demands.values()].flatMap((demand) => demand.offered),
  );
  const unreachableCounts = unreachableByZone(input);
  const up = input.hosts
    .filter((h) =>
      h.state === "up" && !input.vacating.has(h.endpoint) &&
      !input.unreachable.has(h.endpoint)
    )
    .sort((a, b) =>
      (unreachableCounts.get(a.zone) ?? 0) -
      (unreachableCounts.get(b.zone) ?? 0)
    );
  const idle = up.filter((h) => h.pool === standby);
  return [...idle, ...up.filter((h) => offered.has(h.endpoint))];
}

/** Plans moves between the pools, and into standby. */
export function planHostMoves(input: HostMoveInput): readonly HostMove[] {
  const standby = input.pools.find((pool) => pool.standby)?.name;
  if (standby === undefined) return [];
  const needs = [...poolsShortOfHosts(input)];
  const moves: HostMove[] = [];
  for (const { host, endpoint, pool } of movableHosts(input, standby)) {
    const next = needs.findIndex((name) => name !== pool);
    if (next >= 0) {
      const [to] = needs.splice(next, 1);
      moves.push({ host, endpoint, from: pool, to });
    } else if (
      pool !== standby && input.offeredFor(endpoint) >= standbyAfterMs
    ) {
      moves.push({ host, endpoint, from: pool, to: standby });
    }
  }
  return moves;
}
