/**
 * The endpoints that the fleet's owner has asked to become empty, and those
 * whose host it has taken away, until the store and the listing agree.
 */
import type { RowKey, RowPut } from "../store/index.ts";
import type { ListedHost } from "./host_control.ts";
import { encodeVacate, vacateKey, type VacateState } from "./rows.ts";

/**
 * Time for which an endpoint whose host was taken away is remembered, in ms:
 * longer than its registration outlives it.
 */
const forgetAfterMs = 15_000;

interface VacatingEndpoint {
  /** Wall-clock time since, in ms. */
  readonly since: number;
  state: VacateState;
  isStored: boolean;
  /** Steady time since which no host runs it. */
  unlistedSince: number | undefined;
}

/** Rows to write and remove. */
export interface VacateChanges {
  readonly puts: readonly RowPut[];
  readonly removes: readonly RowKey[];
  /** Called after the rows were committed. */
  readonly onCommitted: () => void;
}

/** Endpoints that are being emptied. */
export class VacateTracker {
  readonly #endpoints = new Map<string, VacatingEndpoint>();

  /** Asks for an endpoint to become empty. */
  requestVacate(endpoint: string, wall: number): void {
    if (this.#endpoints.has(endpoint)) return;
    this.#endpoints.set(endpoint, {
      since: wall,
      state: "emptying",
      isStored: false,
      unlistedSince: undefined,
    });
  }

  /** Notes that an endpoint's host was taken away. */
  markDown(endpoint: string, wall: number): void {
    if (endpoint === "") return;
    this.requestVacate(endpoint, wall);
    const tracked = this.#endpoints.get(endpoint);
    if (tracked === undefined || tracked.state === "down") return;
    tracked.state = "down";
    tracked.isStored = false;
  }

  /** Reads a row that an earlier owner left. */
  load(endpoint: string, state: VacateState, wall: number): void {
    this.requestVacate(endpoint, wall);
    const tracked = this.#endpoints.get(endpoint);
    if (tracked === undefined) return;
    tracked.state = state;
    tracked.isStored = true;
  }

  /** Whether an endpoint is being emptied or was taken away. */
  has(endpoint: string): boolean {
    return this.#endpoints.has(endpoint);
  }

  /** Wall-clock time since which an endpoint is being emptied, in ms. */
  vacatingSince(endpoint: string): number | undefined {
    return this.#endpoints.get(endpoint)?.since;
  }

  /** Endpoints that are being emptied or were taken away. */
  all(): ReadonlySet<string> {
    return new Set(this.#endpoints.keys());
  }

  /**
   * The rows that the store lacks, and those that are no longer needed: at
   * most `limit` of them, the others with a later call.
   */
  pendingChanges(
    hosts: readonly ListedHost[],
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
