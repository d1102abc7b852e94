/**
 * Tracks the endpoints that the fleet's owner vacates and those whose host it
 * has taken down or moved, until the host listing and the store reflect it.
 * Endpoints whose host a wave will take down later are tracked as planned; they
 * are not vacated yet.
 *
 * An order that is confirmed may have been carried out earlier, and its host
 * may be back with another endpoint. An endpoint therefore counts as taken down
 * by an order for maintenance only once a listing shows that it is gone. If the
 * listing goes on to show it, the request to vacate it is withdrawn.
 */
import type { RowPut, StoreRowKey } from "../store/index.ts";
import type { ProviderHost } from "../capacity/index.ts";
import { encodeVacate, vacateKey, type VacateRowState } from "./rows.ts";

/**
 * Time for which an endpoint that no listed host runs is still tracked, in ms.
 * It is longer than the endpoint's registration remains in the store.
 */
const forgetAfterMs = 15_000;

/**
 * Time for which the listing may still show an endpoint whose host was taken
 * down, in ms, counted between the requests of two listings.
 */
const maxListingLagMs = 1_000;

/** An endpoint that is to be vacated, is being vacated, or was taken down. */
interface VacatingEndpoint {
  /** Wall-clock time at which vacating began, in ms. */
  since: number;
  state: VacateRowState;
  /** Whether an order about its host was confirmed. */
  isOrdered: boolean;
  /**
   * Monotonic time of the request of the first listing after its host was taken
   * down, or after the row was loaded; undefined before that.
   */
  firstListedAt: number | undefined;
  /**
   * Whether the request to vacate it is withdrawn. It is tracked further until
   * its pool's owner no longer reports it as empty.
   */
  isWithdrawn: boolean;
  /** Whether the store has the current state, or no row once withdrawn. */
  isStored: boolean;
  /** Monotonic time since which no listed host runs it. */
  unlistedSince: number | undefined;
}

/** Whether an endpoint is being vacated or was taken down. */
function isVacating({ state, isWithdrawn }: VacatingEndpoint): boolean {
  return state !== "planned" && !isWithdrawn;
}

/** Rows to put and remove. */
export interface VacateChanges {
  readonly puts: readonly RowPut[];
  readonly removes: readonly StoreRowKey[];
  /** To be called once the rows are committed. */
  readonly onCommitted: () => void;
}

/** Endpoints that are being vacated or were taken down. */
export class VacateTracker {
  readonly #endpoints = new Map<string, VacatingEndpoint>();

  /**
   * Requests that an endpoint be vacated, at the wall-clock time `wall`. Has no
   * effect on an endpoint whose last request is being withdrawn.
   */
  requestVacate(endpoint: string, wall: number): void {
    const tracked = this.#endpoints.get(endpoint);
    if (tracked === undefined) this.#add(endpoint, "emptying", wall);
    else if (tracked.state === "planned" && !tracked.isWithdrawn) {
      tracked.since = wall;
      tracked.state = "emptying";
      tracked.isStored = false;
    }
  }

  /**
   * Sets which endpoints are to be vacated later, at the wall-clock time `wall`.
   * Withdraws earlier plans of others. Has no effect on endpoints that are
   * tracked already.
   */
  setPlanned(endpoints: ReadonlySet<string>, wall: number): void {
    for (const id of endpoints) {
      if (!this.#endpoints.has(id)) this.#add(id, "planned", wall);
    }
    for (const [id, tracked] of this.#endpoints) {
      const isObsolete = tracked.state === "planned" && !endpoints.has(id);
      if (!isObsolete || tracked.isWithdrawn) continue;
      tracked.isWithdrawn = true;
      tracked.isStored = false;
    }
  }

  #add(endpoint: string, state: VacateRowState, wall: number): void {
    this.#endpoints.set(endpoint, {
      since: wall,
      state,
      isOrdered: false,
      firstListedAt: undefined,
      isWithdrawn: false,
      isStored: false,
      unlistedSince: undefined,
    });
  }

  /**
   * Records that an order to take down an endpoint's host was confirmed. Only a
   * later listing tells whether the endpoint has ended.
   */
  recordOrder(endpoint: string, wall: number): void {
    if (endpoint === "") return;
    this.requestVacate(endpoint, wall);
    const tracked = this.#endpoints.get(endpoint);
    if (tracked === undefined) return;
    tracked.isOrdered = true;
    tracked.firstListedAt = undefined;
    if (!tracked.isWithdrawn) return;
    if (tracked.state === "planned") tracked.state = "emptying";
    tracked.isWithdrawn = false;
    tracked.isStored = false;
  }

  /** Records that an endpoint's host was moved to another pool. */
  markDown(endpoint: string, wall: number): void {
    this.recordOrder(endpoint, wall);
    const tracked = this.#endpoints.get(endpoint);
    if (tracked !== undefined) this.#setDown(tracked);
  }

  /**
   * Applies a listing that was requested at the monotonic time `requestedAt`,
   * after all orders recorded so far.
   */
  observe(hosts: readonly ProviderHost[], requestedAt: number): void {
    const up = hosts.filter((h) => h.state === "up");
    const running = new Set(up.map((h) => h.endpoint));
    for (const [id, tracked] of this.#endpoints) {
      if (!tracked.isOrdered || tracked.isWithdrawn) continue;
      tracked.firstListedAt ??= requestedAt;
      if (!running.has(id)) this.#setDown(tracked);
      else if (requestedAt - tracked.firstListedAt > maxListingLagMs) {
        tracked.isWithdrawn = true;
        tracked.isStored = false;
      }
    }
  }

  /** Endpoints whose request is being withdrawn. */
  withdrawn(): ReadonlySet<string> {
    return this.#idsWhere((e) => e.isWithdrawn);
  }

  /**
   * Forgets an endpoint whose request is withdrawn in the store, and which its
   * pool's owner no longer reports as empty.
   */
  forgetWithdrawn(endpoint: string): void {
    const tracked = this.#endpoints.get(endpoint);
    if (tracked?.isWithdrawn && tracked.isStored) {
      this.#endpoints.delete(endpoint);
    }
  }

  /** Loads a row that a previous owner stored. */
  load(endpoint: string, state: VacateRowState, wall: number): void {
    this.requestVacate(endpoint, wall);
    const tracked = this.#endpoints.get(endpoint);
    if (tracked === undefined) return;
    tracked.state = state;
    tracked.isOrdered = state === "down";
    tracked.isStored = true;
  }

  /** Whether an endpoint is being vacated or was taken down. */
  has(endpoint: string): boolean {
    const tracked = this.#endpoints.get(endpoint);
    return tracked !== undefined && isVacating(tracked);
  }

  /** Wall-clock time at which vacating an endpoint began, in ms. */
  vacatingSince(endpoint: string): number | undefined {
    const tracked = this.#endpoints.get(endpoint);
    return tracked && isVacating(tracked) ? tracked.since : undefined;
  }

  /** All endpoints that are being vacated or were taken down. */
  all(): ReadonlySet<string> {
    return this.#idsWhere(isVacating);
  }

  /**
   * Returns the rows to put and remove so that the store matches this state, at
   * most `limit`; later calls return the rest.
   */
  pendingChanges(
    hosts: readonly ProviderHost[],
    now: number,
    limit: number,
  ): VacateChanges {
    const listed = new Set(hosts.map((h) => h.endpoint));
    const allUnstored: [string, VacatingEndpoint][] = [];
    const allRemoved: [string, VacatingEndpoint][] = [];
    for (const [id, endpoint] of this.#endpoints) {
      if (listed.has(id)) endpoint.unlistedSince = undefined;
      else endpoint.unlistedSince ??= now;
      const isForgotten = now - (endpoint.unlistedSince ?? now) > forgetAfterMs;
      const isRemoved = endpoint.isWithdrawn && !endpoint.isStored;
      if (isForgotten || isRemoved) allRemoved.push([id, endpoint]);
      else if (!endpoint.isStored) allUnstored.push([id, endpoint]);
    }
    const unstored = allUnstored.slice(0, limit);
    const removed = allRemoved.slice(0, limit - unstored.length);
    return {
      puts: unstored.map(([id, { state }]) => ({
        ...vacateKey(id),
        value: encodeVacate(state),
      })),
      removes: removed.map(([id]) => vacateKey(id)),
      onCommitted: () => {
        for (const [, endpoint] of unstored) endpoint.isStored = true;
        for (const [id, endpoint] of removed) {
          if (endpoint.isWithdrawn) endpoint.isStored = true;
          else this.#endpoints.delete(id);
        }
      },
    };
  }

  #idsWhere(
    test: (endpoint: VacatingEndpoint) => boolean,
  ): ReadonlySet<string> {
    const found = [...this.#endpoints].filter(([, e]) => test(e));
    return new Set(found.map(([id]) => id));
  }

  #setDown(tracked: VacatingEndpoint): void {
    if (tracked.state === "down") return;
    tracked.state = "down";
    tracked.isStored = false;
  }
}
