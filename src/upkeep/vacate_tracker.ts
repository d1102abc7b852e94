/**
 * Tracks the endpoints that the fleet's owner vacates and those whose host it
 * has taken down or moved, until the host listing and the store reflect it.
 */
import type { RowPut, StoreRowKey } from "../store/index.ts";
import type { ProviderHost } from "../capacity/index.ts";
import { encodeVacate, vacateKey, type VacateState } from "./rows.ts";

/**
 * Time for which an endpoint that no listed host runs is still tracked, in ms.
 * It is longer than the endpoint's registration remains in the store.
 */
const forgetAfterMs = 15_000;

/** An endpoint that is being vacated or was taken down. */
interface VacatingEndpoint {
  /** Wall-clock time at which vacating began, in ms. */
  readonly since: number;
  state: VacateState;
  /** Whether the store has the current state. */
  isStored: boolean;
  /** Monotonic time since which no listed host runs it. */
  unlistedSince: number | undefined;
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

  /** Requests that an endpoint be vacated, at the wall-clock time `wall`. */
  requestVacate(endpoint: string, wall: number): void {
    if (this.#endpoints.has(endpoint)) return;
    this.#endpoints.set(endpoint, {
      since: wall,
      state: "emptying",
      isStored: false,
      unlistedSince: undefined,
    });
  }

  /** Records that an endpoint's host was taken down or moved. */
  markDown(endpoint: string, wall: number): void {
    if (endpoint === "") return;
    this.requestVacate(endpoint, wall);
    const tracked = this.#endpoints.get(endpoint);
    if (tracked === undefined || tracked.state === "down") return;
    tracked.state = "down";
    tracked.isStored = false;
  }

  /** Loads a row that a previous owner stored. */
  load(endpoint: string, state: VacateState, wall: number): void {
    this.requestVacate(endpoint, wall);
    const tracked = this.#endpoints.get(endpoint);
    if (tracked === undefined) return;
    tracked.state = state;
    tracked.isStored = true;
  }

  /** Whether an endpoint is being vacated or was taken down. */
  has(endpoint: string): boolean {
    return this.#endpoints.has(endpoint);
  }

  /** Wall-clock time at which vacating an endpoint began, in ms. */
  vacatingSince(endpoint: string): number | undefined {
    return this.#endpoints.get(endpoint)?.since;
  }

  /** All endpoints that are being vacated or were taken down. */
  all(): ReadonlySet<string> {
    return new Set(this.#endpoints.keys());
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
    const allRemoved: string[] = [];
    for (const [id, endpoint] of this.#endpoints) {
      if (listed.has(id)) endpoint.unlistedSince = undefined;
      else endpoint.unlistedSince ??= now;
      const isForgotten = now - (endpoint.unlistedSince ?? now) > forgetAfterMs;
      if (isForgotten) allRemoved.push(id);
      else if (!endpoint.isStored) allUnstored.push([id, endpoint]);
    }
    const unstored = allUnstored.slice(0, limit);
    const removed = allRemoved.slice(0, limit - unstored.length);
    return {
      puts: unstored.map(([id, { state }]) => ({
        ...vacateKey(id),
        value: encodeVacate(state),
      })),
      removes: removed.map(vacateKey),
      onCommitted: () => {
        for (const [, endpoint] of unstored) endpoint.isStored = true;
        for (const id of removed) this.#endpoints.delete(id);
      },
    };
  }
}
