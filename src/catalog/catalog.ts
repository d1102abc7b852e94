/**
 * The operator's table as it is in force: queues (classes of work) and the
 * pools that serve them. Versions only rise.
 */

/** A class of work. */
export interface Queue {
  readonly name: string;
  /** Host name and path prefix under which callers reach it. */
  readonly authority: string;
  readonly prefix: string;
  readonly pool: string;
  /** 0 comes first. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** Latency objective: `sloMs` plus `stretch` times the longest chain. */
  readonly sloMs: number;
  readonly stretch: number;
  /** Whether only an outside service knows which endpoints may run a step. */
  readonly advised: boolean;
}

/** A pool of hosts. */
export interface Pool {
  readonly name: string;
  /** Whether its hosts are off and not paid for. */
  readonly standby: boolean;
}

/** One version of the table. */
export interface Catalog {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly Pool[];
  readonly maxBodyBytes: number;
}

/** A path within a queue. */
export interface QueueMatch {
  readonly queue: Queue;
  /** What follows the prefix. */
  readonly rest: string;
}

/** The queue whose prefix is the longest that a path begins with. */
export function findQueue(
  catalog: Catalog,
  authority: string,
  path: string,
): QueueMatch | undefined {
  let best: Queue | undefined;
  for (const queue of catalog.queues) {
    if (queue.authority !== authority) continue;
    if (!path.startsWith(queue.prefix)) continue;
    if (best === undefined || queue.prefix.length > best.prefix.length) {
      best = queue;
    }
  }
  return best && { queue: best, rest: path.slice(best.prefix.length) };
}

/** Holds the newest catalog that has been seen. */
export class CatalogHolder {
  #current: Catalog | undefined;
  #listeners = new Set<(catalog: Catalog) => void>();

  get current(): Catalog | undefined {
    return this.#current;
  }

  /** Takes a catalog into force unless it is older; tells whether it did. */
  accept(catalog: Catalog): boolean {
    if (catalog.version <= (this.#current?.version ?? -1)) return false;
    this.#current = catalog;
    for (const listener of this.#listeners) listener(catalog);
    return true;
  }

  /** Calls `listener` with each catalog that comes into force. */
  onChange(listener: (catalog: Catalog) => void): void {
    this.#listeners.add(listener);
  }
}
