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
const forgetEndpointMs = 15_000;

interface Vacating {
  /** Wall-clock time since, in ms. */
  readonly since: number;
  state: VacateState;
  isStored: boolean;
  /** Steady time since which no host runs it. */
  goneSince: number | undefined;
}

/** Rows to write and remove. */
export interface VacateChanges {
  readonly puts: readonly RowPut[];
  readonly removes: readonly RowKey[];
  /** Called after the rows were committed. */
  readonly stored: () => void;
}

/** Endpoints that are being emptied. */
export class VacateBook {
  readonly #endpoints = new Map<string, Vacating>();

  /** Asks for an endpoint to become empty. */
  empty(endpoint: string, wall: number): void {
    if (this.#endpoints.has(endpoint)) return;
    this.#endpoints.set(endpoint, {
      since: wall,
      state: "emptying",
      isStored: false,
      goneSince: undefined,
    });
  }

  /** Notes that an endpoint's host was taken away. */
  takenAway(endpoint: string, wall: number): void {
    if (endpoint === "") return;
    this.empty(endpoint, wall);
    const known = this.#endpoints.get(endpoint);
    if (known === undefined || known.state === "down") return;
    known.state = "down";
    known.isStored = false;
  }

  /** Reads a row that an earlier owner left. */
  load(endpoint: string, state: VacateState, wall: number): void {
    this.empty(endpoint, wall);
    const known = this.#endpoints.get(endpoint);
    if (known === undefined) return;
    known.state = state;
    known.isStored = true;
  }

  /** Whether an endpoint is being emptied or was taken away. */
  has(endpoint: string): boolean {
    return this.#endpoints.has(endpoint);
  }

  /** Wall-clock time since which an endpoint is being emptied, in ms. */
  since(endpoint: string): number | undefined {
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
  changes(
    hosts: readonly ListedHost[],
    now: number,
    limit: number,
  ): VacateChanges {
    const running = new Set(hosts.map((h) => h.endpoint));
    const allUnstored: [string, Vacating][] = [];
    const allRemoved: string[] = [];
    for (const [id, endpoint] of this.#endpoints) {
      if (running.has(id)) endpoint.goneSince = undefined;
      else endpoint.goneSince ??= now;
      const gone = now - (endpoint.goneSince ?? now) > forgetEndpointMs;
      if (gone) allRemoved.push(id);
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
      stored: () => {
        for (const [, endpoint] of unstored) endpoint.isStored = true;
        for (const id of removed) this.#endpoints.delete(id);
      },
    };
  }
}
