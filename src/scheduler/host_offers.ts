/**
 * The endpoints that a shard keeps empty and offers to other pools.
 *
 * The offer stands in the store, and the fleet's owner may act on it at any
 * moment. So an endpoint that is taken back gets work only some time after
 * the store has confirmed that it is no longer offered.
 */
import type { EndpointSession } from "./endpoint_session.ts";

/**
 * Time after which the fleet's owner no longer acts on a withdrawn offer, in
 * ms: it reads the offers anew before each round of orders.
 */
const withdrawMs = 500;

/** Offers of one shard. */
export class HostOffers {
  readonly #offered = new Set<string>();
  /** Steady time from which a withdrawn endpoint may get work. */
  readonly #withdrawn = new Map<string, number>();

  /** Endpoints that are offered. */
  get offered(): readonly string[] {
    return [...this.#offered];
  }

  /** Whether an endpoint must not get work. */
  isClosed(endpoint: string, now: number): boolean {
    if (this.#offered.has(endpoint)) return true;
    const until = this.#withdrawn.get(endpoint);
    if (until === undefined) return false;
    if (now < until) return true;
    this.#withdrawn.delete(endpoint);
    return false;
  }

  /** Offers what the pool does not need, and withdraws what it does. */
  adjust(sessions: readonly EndpointSession[], want: number): void {
    const open = sessions.filter((s) => s.isOpen);
    const ids = new Set(open.map((s) => s.endpoint.id));
    for (const id of this.#offered) {
      if (!ids.has(id)) this.#offered.delete(id);
    }
    let kept = open.length - this.#offered.size;
    for (const id of [...this.#offered]) {
      if (kept >= want) break;
      this.#offered.delete(id);
      this.#withdrawn.set(id, Infinity);
      kept++;
    }
    for (const { endpoint, runs } of open) {
      if (kept <= want) break;
      const { id } = endpoint;
      if (runs.size > 0 || this.#offered.has(id)) continue;
      if (this.#withdrawn.has(id)) continue;
      this.#offered.add(id);
      kept--;
    }
  }

  /** Notes that the store holds the present offers. */
  stored(now: number): void {
    for (const [id, until] of this.#withdrawn) {
      if (until === Infinity) this.#withdrawn.set(id, now + withdrawMs);
    }
  }
}
