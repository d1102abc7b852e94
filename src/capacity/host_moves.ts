/**
 * Planning of host moves between pools.
 *
 * Demand surges last some seconds, hit one pool after another, and reach
 * several times the capacity of a pool. Hosts that a pool does not need
 * therefore wait in a standby pool, where they cost nothing, and move to
 * whichever pool needs them. Each pool's owner reports how many hosts it wants,
 * and offers endpoints that it keeps empty. The host of an offered endpoint
 * moves to a pool that is short of hosts at once, and to standby after a delay.
 *
 * Hosts with an unreachable endpoint do no work and are not counted for their
 * pool. Because a network partition usually affects a whole availability zone,
 * hosts of the zones with the most unreachable endpoints are moved last.
 */
import type { Pool } from "../catalog/index.ts";
import type { PoolDemand } from "./pool_demand.ts";
import type { ProviderHost } from "./provider_host.ts";

/**
 * Time for which a host must have been offered before it moves to standby, in
 * ms, because demand may rise again within a surge.
 */
const standbyAfterMs = 2_000;

/** Turn of needs for relocations, after those of jobs. */
const relocationTurn = Infinity;

/** Input of `planHostMoves`. */
export interface HostMoveInput {
  readonly pools: readonly Pool[];
  readonly hosts: readonly ProviderHost[];
  /** Known demands by pool. */
  readonly demands: ReadonlyMap<string, PoolDemand>;
  /** Endpoints that are vacated for maintenance or were taken down. */
  readonly vacating: ReadonlySet<string>;
  /** Unreachable endpoints of hosts that are up. */
  readonly unreachable: ReadonlySet<string>;
  /** Time for which an endpoint has been offered, in ms. */
  readonly offeredFor: (endpoint: string) => number;
}

/** A planned move of a host between pools. */
export interface HostMove {
  readonly host: string;
  /** Endpoint on the host; empty for none. */
  readonly endpoint: string;
  readonly from: string;
  readonly to: string;
}

/** Counts the hosts of a pool that accept work now or after a move to it. */
function countUsableHosts(input: HostMoveInput, pool: string): number {
  const offered = new Set(input.demands.get(pool)?.offered);
  return input.hosts.filter((h) =>
    h.pool === pool && (h.state === "up" || h.state === "moving") &&
    !input.vacating.has(h.endpoint) && !offered.has(h.endpoint) &&
    !input.unreachable.has(h.endpoint)
  ).length;
}

/**
 * Pools that are short of hosts, once per missing host, in round-robin, and last
 * for the hosts that they want for relocations. A pool that wants more hosts than
 * there are counts as short of all of them.
 */
function poolsShortOfHosts(input: HostMoveInput): readonly string[] {
  const needs: { readonly pool: string; readonly turn: number }[] = [];
  for (const { name, standby } of input.pools) {
    const demand = input.demands.get(name);
    if (standby || demand === undefined) continue;
    const want = Math.min(demand.want, input.hosts.length);
    const missing = want - countUsableHosts(input, name);
    const forJobs = missing - (demand.relocationHosts ?? 0);
    for (let i = 0; i < missing; i++) {
      needs.push({ pool: name, turn: i < forJobs ? i : relocationTurn });
    }
  }
  return needs.sort((a, b) => Number(a.turn > b.turn) - Number(a.turn < b.turn))
    .map(({ pool }) => pool);
}

/** Counts the unreachable endpoints by availability zone. */
function unreachableByZone(input: HostMoveInput): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { zone, endpoint } of input.hosts) {
    if (!input.unreachable.has(endpoint)) continue;
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
}

/**
 * Hosts that may be moved: those in standby first, then offered ones; within
 * each group, hosts of the zones with the fewest unreachable endpoints first.
 */
function movableHosts(
  input: HostMoveInput,
  standby: string,
): readonly ProviderHost[] {
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

/** Plans moves between pools and to standby; none without a standby pool. */
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
