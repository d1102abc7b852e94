/**
 * The endpoints that a shard empties and offers to other pools.
 *
 * What the pool does not need is closed to new work at once, and offered when
 * it is empty; until then it can be opened again at any moment.
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
const withdrawalDelayMs = 500;

/**
 * The same for tasks with an availability budget, in ms: an order that was
 * held up on its way would take one of them away against its budget.
 */
const protectedWithdrawalDelayMs = 2_500;

/** Until when a withdrawn endpoint is kept from work, by kind of work. */
interface Withdrawal {
  readonly anyWorkFrom: number;
  readonly protectedWorkFrom: number;
}

const unconfirmed: Withdrawal = {
  anyWorkFrom: Infinity,
  protectedWorkFrom: Infinity,
};

/** Offers of one shard. */
export class HostOffers {
  readonly #offered = new Set<string>();
  /** Endpoints that are closed, to be offered once they are empty. */
  readonly #closing = new Set<string>();
  readonly #withdrawn = new Map<string, Withdrawal>();

  /** Endpoints that are offered. */
  get offered(): readonly string[] {
    return [...this.#offered];
  }

  /** Withdraws the offers that an earlier owner left in the store. */
  inherit(endpoints: readonly string[]): void {
    for (const id of endpoints) this.#withdrawn.set(id, unconfirmed);
  }

  /** Whether an endpoint must not get work. */
  isClosed(endpoint: string, now: number): boolean {
    if (this.#offered.has(endpoint) || this.#closing.has(endpoint)) {
      return true;
    }
    return now < (this.#withdrawn.get(endpoint)?.anyWorkFrom ?? 0);
  }

  /** Whether an endpoint must not get a task with an availability budget. */
  mayBeMoved(endpoint: string, now: number): boolean {
    if (this.#offered.has(endpoint)) return true;
    return now < (this.#withdrawn.get(endpoint)?.protectedWorkFrom ?? 0);
  }

  /** Offers what the pool does not need, and withdraws what it does. */
  adjust(sessions: readonly EndpointSession[], wantedHosts: number): void {
    const open = sessions.filter((s) => s.isOpen);
    const ids = new Set(open.map((s) => s.endpoint.id));
    for (const id of this.#offered) {
      if (!ids.has(id)) this.#offered.delete(id);
    }
    this.#closing.clear();
    const available = open.length - this.#offered.size;
    if (available < wantedHosts) this.#withdraw(wantedHosts - available);
    else this.#closeAndOffer(open, available - wantedHosts);
  }

  #withdraw(count: number): void {
    for (const id of [...this.#offered].slice(0, count)) {
      this.#offered.delete(id);
      this.#withdrawn.set(id, unconfirmed);
    }
  }

  /** Those with the fewest runs are closed; the empty ones are offered. */
  #closeAndOffer(open: readonly EndpointSession[], count: number): void {
    const candidates = open
      .filter(({ endpoint: { id }, runs }) =>
        !this.#offered.has(id) && this.#withdrawn.get(id) !== unconfirmed &&
        [...runs.values()].every((run) => !run.step.longRunning)
      )
      .sort((a, b) => a.runs.size - b.runs.size);
    for (const { endpoint: { id }, runs } of candidates.slice(0, count)) {
      if (runs.size > 0) {
        this.#closing.add(id);
        continue;
      }
      this.#offered.add(id);
      this.#withdrawn.delete(id);
    }
  }

  /** Notes that the store holds the present offers. */
  stored(now: number): void {
    for (const [id, withdrawal] of this.#withdrawn) {
      if (withdrawal === unconfirmed) {
        this.#withdrawn.set(id, {
          anyWorkFrom: now + withdrawalDelayMs,
          protectedWorkFrom: now + protectedWithdrawalDelayMs,
        });
      } else if (now > withdrawal.protectedWorkFrom) this.#withdrawn.delete(id);
    }
  }
}
