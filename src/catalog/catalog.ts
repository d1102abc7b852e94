/**
 * The operator's catalog: queues (classes of work) and the pools that serve
 * them. The version of the catalog in force never decreases.
 */

import type { WorkspaceDirectory } from "../workspaces/index.ts";

/** A class of work. */
export interface Queue {
  readonly name: string;
  /** Host name under which callers address the queue. */
  readonly authority: string;
  /** Path prefix under which callers address the queue. */
  readonly prefix: string;
  /** Name of the pool that serves the queue. */
  readonly pool: string;
  /** Priority of the queue's jobs; 0 is the highest. */
  readonly priority: number;
  /** Number of failed runs of a task after which its job fails. */
  readonly maxAttempts: number;
  /**
   * Fixed part of the latency objective in ms. The objective of a job is
   * `sloMs` plus `stretch` times the expected run time of its longest chain of
   * steps.
   */
  readonly sloMs: number;
  /** Factor of the longest chain's run time in the latency objective. */
  readonly stretch: number;
  /** Whether an external service decides which endpoints may run a step. */
  readonly advised: boolean;
  /** Whether callers may use the queue without the key of a workspace. */
  readonly isPublic: boolean;
}

/** A pool of hosts. */
export interface Pool {
  readonly name: string;
  /** Whether the hosts are powered off and not billed. */
  readonly standby: boolean;
}

/** One version of the catalog. */
export interface Catalog {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly Pool[];
  /** Maximum size of a request body in bytes. */
  readonly maxBodyBytes: number;
  /** The workspaces; undefined if the catalog has none and asks for no keys. */
  readonly workspaces?: WorkspaceDirectory;
}

/** The queue that a path belongs to. */
export interface QueueMatch {
  readonly queue: Queue;
  /** The path after the queue's prefix. */
  readonly subpath: string;
}

/**
 * Finds the queue that a host name and path belong to: the one with the longest
 * matching prefix. Returns undefined if none matches.
 */
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
  return best && { queue: best, subpath: path.slice(best.prefix.length) };
}

/** Holds the catalog in force, which is the newest one received. */
export class CatalogHolder {
  #current: Catalog | undefined;
  #listeners = new Set<(catalog: Catalog) => void>();

  /** The catalog in force; undefined until one is received. */
  get current(): Catalog | undefined {
    return this.#current;
  }

  /**
   * Puts a catalog in force if its version is higher than the current one, and
   * notifies the listeners. Returns whether it was put in force.
   */
  updateIfNewer(catalog: Catalog): boolean {
    if (catalog.version <= (this.#current?.version ?? -1)) return false;
    this.#current = catalog;
    for (const listener of this.#listeners) listener(catalog);
    return true;
  }

  /** Calls `listener` with each catalog that is put in force. */
  onChange(listener: (catalog: Catalog) => void): void {
    this.#listeners.add(listener);
  }
}
