/** Loads that the connected entries reported, by pool. */
import type { PeerLoads, PoolLoad } from "../pipeline/index.ts";

const emptyLoads: ReadonlyMap<string, PoolLoad> = new Map();

/** Keeps the newest load of each pool on each connected entry. */
export class PeerLoadTable implements PeerLoads {
  #byPool = new Map<string, Map<string, PoolLoad>>();

  of(pool: string): ReadonlyMap<string, PoolLoad> {
    return this.#byPool.get(pool) ?? emptyLoads;
  }

  set(entry: string, pool: string, load: PoolLoad): void {
    let loads = this.#byPool.get(pool);
    if (loads === undefined) {
      loads = new Map();
      this.#byPool.set(pool, loads);
    }
    loads.set(entry, load);
  }

  /** Replaces everything known of an entry by its heartbeat. */
  replace(entry: string, loads: Readonly<Record<string, PoolLoad>>): void {
    this.remove(entry);
    for (const [pool, load] of Object.entries(loads)) {
      this.set(entry, pool, load);
    }
  }

  /** Forgets an entry. */
  remove(entry: string): void {
    for (const loads of this.#byPool.values()) loads.delete(entry);
  }
}
