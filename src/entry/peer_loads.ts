/** Loads that the connected entries report in their heartbeats, by pool. */
import type { PeerLoads, PoolLoad } from "../pipeline/index.ts";

const emptyLoads: ReadonlyMap<string, PoolLoad> = new Map();

/** Keeps the latest load of each pool on each connected entry. */
export class PeerLoadTable implements PeerLoads {
  #byPool = new Map<string, Map<string, PoolLoad>>();

  /** Loads of a pool by entry. */
  of(pool: string): ReadonlyMap<string, PoolLoad> {
    return this.#byPool.get(pool) ?? emptyLoads;
  }

  /** Replaces the load of one pool on one entry. */
  set(entry: string, pool: string, load: PoolLoad): void {
    let loads = this.#byPool.get(pool);
    if (loads === undefined) {
      loads = new Map();
      this.#byPool.set(pool, loads);
    }
    loads.set(entry, load);
  }

  /** Replaces all loads of an entry by those of its latest heartbeat. */
  replace(entry: string, loads: Readonly<Record<string, PoolLoad>>): void {
    this.remove(entry);
    for (const [pool, load] of Object.entries(loads)) {
      this.set(entry, pool, load);
    }
  }

  /** Removes all loads of an entry. */
  remove(entry: string): void {
    for (const loads of this.#byPool.values()) loads.delete(entry);
  }
}
