/**
 * Manages the endpoints whose hosts a shard offers to other pools.
 *
 * An endpoint that the pool does not need is closed to new tasks at once, and
 * offered when it is empty; until then it can be reopened at any time, and may
 * get a task that has waited for long.
 *
 * Offers are rows in the store on which the owner of the fleet may act at any
 * time. So an endpoint whose offer was withdrawn gets tasks only some time after
 * the store has confirmed the withdrawal.
 */
import type { PoolEndpoint } from "./pool_state.ts";

/**
 * Time from a confirmed withdrawal until the owner of the fleet no longer acts
 * on the offer, in ms: it reads all offers again before each round of orders.
 */
const withdrawalDelayMs = 500;

/**
 * The same delay for tasks with an availability budget, in ms. It is longer
 * because a delayed order to move the host would interrupt such a task against
 * its budget.
 */
const protectedWithdrawalDelayMs = 2_500;

/** Monotonic times from which a withdrawn endpoint may get tasks again, in ms. */
interface Withdrawal {
  /** For tasks without an availability budget. */
  readonly anyWorkFrom: number;
  /** For tasks with an availability budget. */
  readonly protectedWorkFrom: number;
}

/** Withdrawal that the store has not confirmed yet. */
const unconfirmed: Withdrawal = {
  anyWorkFrom: Infinity,
  protectedWorkFrom: Infinity,
};

/** No endpoint is needed for itself. */
const noEndpoints: ReadonlySet<string> = new Set();

/** Host offers of one shard. */
export class HostOffers {
  readonly #offered = new Set<string>();
  /** Endpoints that are closed to new tasks until they are empty. */
  readonly #closing = new Set<string>();
  readonly #withdrawn = new Map<string, Withdrawal>();

  /** Ids of the offered endpoints. */
  get offered(): readonly string[] {
    return [...this.#offered];
  }

  /** Number of endpoints that are closed until they are empty. */
  get closingCount(): number {
    return this.#closing.size;
  }

  /** Withdraws the offers that an earlier owner left in the store. */
  withdrawInherited(endpoints: readonly string[]): void {
    for (const id of endpoints) this.#withdrawn.set(id, unconfirmed);
  }

  /**
   * Returns whether an endpoint is closed to tasks other than overdue ones; see
   * {@link isKeptEmpty}.
   */
  isClosed(endpoint: string, now: number): boolean {
    return this.#closing.has(endpoint) || this.isKeptEmpty(endpoint, now);
  }

  /**
   * Returns whether an endpoint must not receive any task whatever it waits for,
   * because its host may be moved.
   */
  isKeptEmpty(endpoint: string, now: number): boolean {
    if (this.#offered.has(endpoint)) return true;
    return now < (this.#withdrawn.get(endpoint)?.anyWorkFrom ?? 0);
  }

  /**
   * Returns whether the endpoint's host may still be moved, so that it must not
   * receive tasks with an availability budget.
   */
  mayBeMoved(endpoint: string, now: number): boolean {
    if (this.#offered.has(endpoint)) return true;
    return now < (this.#withdrawn.get(endpoint)?.protectedWorkFrom ?? 0);
  }

  /**
   * Adjusts the offers to the number of hosts that the pool needs: closes and
   * offers surplus endpoints, or withdraws offers. The endpoints `needed`, which
   * have room for waiting tasks, are kept open whatever that number is.
   */
  adjust(
    endpoints: readonly PoolEndpoint[],
    wantedHosts: number,
    needed = noEndpoints,
  ): void {
    const open = endpoints.filter((each) => each.isOpen);
    const ids = new Set(open.map((each) => each.id));
    for (const id of this.#offered) {
      if (!ids.has(id)) this.#offered.delete(id);
    }
    this.#closing.clear();
    this.#withdraw(this.offered.filter((id) => needed.has(id)));
    const available = open.length - this.#offered.size;
    const surplus = available - wantedHosts;
    if (surplus < 0) this.#withdraw(this.offered.slice(0, -surplus));
    else {
      const closable = open.filter(({ id }) => !needed.has(id));
      this.#closeAndOffer(closable, surplus);
    }
  }

  /** Withdraws offers. */
  #withdraw(offered: readonly string[]): void {
    for (const id of offered) {
      this.#offered.delete(id);
      this.#withdrawn.set(id, unconfirmed);
    }
  }

  /**
   * Takes `count` endpoints, those with the fewest runs first and among equals
   * those that are to be vacated; offers the empty ones and closes the others. Endpoints with long-running tasks are left out.
   */
  #closeAndOffer(open: readonly PoolEndpoint[], count: number): void {
    const candidates = open
      .filter(({ id, hasLongRunningRuns }) =>
        !hasLongRunningRuns && !this.#offered.has(id) &&
        this.#withdrawn.get(id) !== unconfirmed
      )
      .sort((a, b) =>
        a.runCount - b.runCount ||
        Number(b.awaitsVacate) - Number(a.awaitsVacate)
      );
    for (const { id, runCount } of candidates.slice(0, count)) {
      if (runCount > 0) {
        this.#closing.add(id);
        continue;
      }
      this.#offered.add(id);
      this.#withdrawn.delete(id);
    }
  }

  /** Records that the store holds the present offers since `now` (ms). */
  confirmStored(now: number): void {
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
