/**
 * How many hosts each pool should have, and which moves bring that about.
 *
 * Demand comes in surges of some seconds, by turns of the pools, to several
 * times what a pool holds. So hosts that a pool does not need wait in a
 * standby pool, where they cost nothing, and move to whichever pool needs
 * them. A pool grows at once and shrinks only when its need has been lower for
 * a while. Only empty hosts move.
 */
import * as v from "valibot";
import type { Pool } from "../catalog/index.ts";
import type { ListedHost } from "./host_control.ts";

export const poolDemandSchema = v.object({
  /** Processor that running and waiting tasks ask for, in thousandths. */
  cpuMillis: v.number(),
  memoryMb: v.number(),
  /** Fewest endpoints on which the tasks may run side by side. */
  minEndpoints: v.number(),
  /** Capacity of one of the pool's hosts. */
  hostCpuMillis: v.number(),
  hostMemoryMb: v.number(),
  /** Endpoints without a long-running task, those with fewest runs first. */
  spare: v.array(v.string()),
});

/** What a shard's owner says of its pool. */
export type PoolDemand = v.InferOutput<typeof poolDemandSchema>;

/** Share of a host that can be filled, as tasks leave gaps. */
const fillShare = 0.85;

/** Hosts that a pool keeps beyond its need, for the next jobs. */
const reserveHosts = 1;

/** Fewest hosts of a pool that serves a queue. */
const minHosts = 2;

/** Time for which a lower need must have lasted before hosts leave, in ms. */
const shrinkAfterMs = 2_500;

/** Hosts that a demand calls for. */
export function hostsNeeded(demand: PoolDemand): number {
  const { cpuMillis, memoryMb, hostCpuMillis, hostMemoryMb } = demand;
  if (hostCpuMillis <= 0 || hostMemoryMb <= 0) return minHosts;
  const byCpu = cpuMillis / (hostCpuMillis * fillShare);
  const byMemory = memoryMb / (hostMemoryMb * fillShare);
  const needed = Math.max(byCpu, byMemory, demand.minEndpoints);
  return Math.max(minHosts, Math.ceil(needed) + reserveHosts);
}

/** A need at a time, in ms. */
interface Need {
  readonly at: number;
  readonly hosts: number;
}

/** The needs of the pools over the last seconds. */
export class NeedHistory {
  readonly #needs = new Map<string, readonly Need[]>();

  /** Notes a pool's need at the steady time `now`. */
  note(pool: string, hosts: number, now: number): void {
    const recent = (this.#needs.get(pool) ?? [])
      .filter((need) => now - need.at <= shrinkAfterMs);
    this.#needs.set(pool, [...recent, { at: now, hosts }]);
  }

  /** The present need. */
  present(pool: string): number {
    return this.#needs.get(pool)?.at(-1)?.hosts ?? minHosts;
  }

  /** The highest need of the last seconds. */
  highest(pool: string): number {
    const needs = this.#needs.get(pool) ?? [];
    return Math.max(minHosts, ...needs.map((need) => need.hosts));
  }
}

/** What a plan of sizes looks at. */
export interface SizeView {
  readonly pools: readonly Pool[];
  readonly hosts: readonly ListedHost[];
  readonly demands: ReadonlyMap<string, PoolDemand>;
  readonly needs: NeedHistory;
  /** Endpoints that are being emptied, for whatever reason. */
  readonly vacating: ReadonlySet<string>;
  /** Endpoints that this plan may move once they are empty. */
  readonly moving: ReadonlySet<string>;
  readonly empty: ReadonlySet<string>;
}

/** An order to move a host. */
export interface HostMove {
  readonly host: string;
  readonly endpoint: string;
  readonly from: string;
  readonly to: string;
}

/** What a plan of sizes asks for. */
export interface SizePlan {
  readonly moves: readonly HostMove[];
  /** Endpoints to empty so that their host can move. */
  readonly vacate: readonly string[];
}

/** Hosts of a pool that take work, or will soon. */
function present(view: SizeView, pool: string): readonly ListedHost[] {
  return view.hosts.filter((h) =>
    h.pool === pool && (h.state === "up" || h.state === "moving") &&
    !view.vacating.has(h.endpoint)
  );
}

/** Plans moves out of standby, and back into it. */
export function planSizes(view: SizeView): SizePlan {
  const standby = view.pools.find((pool) => pool.standby)?.name;
  if (standby === undefined) return { moves: [], vacate: [] };
  const active = view.pools.filter((pool) => !pool.standby);
  const returning = returnMoves(view, standby);
  const vacate: string[] = [];
  const lacking: string[] = [];
  for (const { name } of active) {
    const demand = view.demands.get(name);
    if (demand === undefined) continue;
    const size = present(view, name).length;
    const lacks = view.needs.present(name) - size;
    for (let i = 0; i < lacks; i++) lacking.push(name);
    const surplus = size - view.needs.highest(name);
    if (surplus > 0) vacate.push(...surplusEndpoints(view, name, surplus));
  }
  const idle = view.hosts.filter((h) =>
    h.pool === standby && h.state === "up" && !view.vacating.has(h.endpoint)
  );
  const moves = byTurns(lacking).slice(0, idle.length).map((to, i) => ({
    host: idle[i].host,
    endpoint: idle[i].endpoint,
    from: standby,
    to,
  }));
  // What has become empty goes straight to a pool that still lacks hosts.
  const unmet = byTurns(lacking).slice(moves.length);
  const redirected = returning.map((move, i) => ({
    ...move,
    to: unmet[i] ?? move.to,
  }));
  const useful = redirected.filter((move) => move.from !== move.to);
  return { moves: [...moves, ...useful], vacate };
}

/** Emptied hosts that this plan asked for go back into standby. */
function returnMoves(view: SizeView, standby: string): readonly HostMove[] {
  return view.hosts
    .filter((h) =>
      h.state === "up" && h.pool !== standby &&
      view.moving.has(h.endpoint) && view.empty.has(h.endpoint)
    )
    .map(({ host, endpoint, pool }) => ({
      host,
      endpoint,
      from: pool,
      to: standby,
    }));
}

function surplusEndpoints(
  view: SizeView,
  pool: string,
  surplus: number,
): readonly string[] {
  const known = new Set(
    present(view, pool).filter((h) => h.state === "up").map((h) => h.endpoint),
  );
  const spare = view.demands.get(pool)?.spare ?? [];
  return spare.filter((id) => known.has(id)).slice(0, surplus);
}

/** Lets pools that lack hosts take them by turns. */
function byTurns(lacking: readonly string[]): readonly string[] {
  const counts = new Map<string, number>();
  return lacking
    .map((pool) => {
      const turn = counts.get(pool) ?? 0;
      counts.set(pool, turn + 1);
      return { pool, turn };
    })
    .sort((a, b) => a.turn - b.turn)
    .map(({ pool }) => pool);
}
