/**
 * Registry of the endpoints that run tasks, which register in the store.
 *
 * A restarted endpoint may keep its id; each start under an id is an
 * incarnation, identified by `life`. The registry lists the youngest one that
 * it has seen of each id: a registration that an older incarnation sent may be
 * stored after that of the younger one, and would make the younger one appear
 * to have ended. An endpoint whose wall clock was set back registers under a
 * smaller `life`; it is listed once it has done so for {@link setBackAfterMs}.
 * Until then the runs of the earlier incarnation end when the task lists of the
 * endpoint show the other `life`.
 */
import type { Resources } from "../batch/index.ts";
import { type Clock, systemClock } from "../clock/index.ts";

/**
 * Time for which an id registers only under a smaller `life` than before until
 * that one is listed, in ms. A registration that is stored late stands for less
 * time, because the living endpoint registers again.
 */
const setBackAfterMs = 10_000;

/** Number of ids that are not registered whose `life` is remembered. */
const maxRememberedIds = 10_000;

/** One registered endpoint. */
export interface TaskEndpoint {
  readonly id: string;
  readonly address: string;
  readonly pool: string;
  readonly zone: string;
  /** Wall-clock time of its start, in ms; identifies the incarnation. */
  readonly life: number;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Whether it is about to leave and accepts no new work. */
  readonly draining: boolean;
  /** Host that the endpoint runs on; empty if unknown. */
  readonly host: string;
}

/** A change to the registry. */
export type RegistryChange =
  | { readonly kind: "listed"; readonly endpoint: TaskEndpoint }
  | { readonly kind: "removed"; readonly id: string };

/** Registered endpoints; notifies listeners after each batch of changes. */
export class EndpointRegistry {
  readonly #endpoints = new Map<string, TaskEndpoint>();
  /** The youngest `life` that was listed, by id. */
  readonly #youngest = new Map<string, number>();
  /** Monotonic time in ms since which an id is listed as older only. */
  readonly #olderSince = new Map<string, number>();
  readonly #listeners = new Set<() => void>();

  constructor(private readonly clock: Clock = systemClock) {}

  /** Replaces all endpoints. */
  reset(endpoints: readonly TaskEndpoint[]): void {
    const listed = new Set(endpoints.map((e) => e.id));
    const known = [...this.#endpoints.keys(), ...this.#olderSince.keys()];
    for (const id of known) if (!listed.has(id)) this.#remove(id);
    for (const e of endpoints) this.#list(e);
    this.#forgetOldest();
    this.#notify();
  }

  /** Applies changes in order. */
  apply(changes: readonly RegistryChange[]): void {
    for (const change of changes) {
      if (change.kind === "removed") this.#remove(change.id);
      else this.#list(change.endpoint);
    }
    this.#forgetOldest();
    this.#notify();
  }

  /** Returns the endpoint with an id. */
  get(id: string): TaskEndpoint | undefined {
    return this.#endpoints.get(id);
  }

  /** Returns the endpoints of a pool. */
  inPool(pool: string): readonly TaskEndpoint[] {
    return [...this.#endpoints.values()].filter((e) => e.pool === pool);
  }

  /** Registers a change listener; the returned function removes it. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Lists an endpoint, unless a younger incarnation of it is known. */
  #list(endpoint: TaskEndpoint): void {
    const { id, life } = endpoint;
    const youngest = this.#youngest.get(id) ?? -Infinity;
    if (life < youngest && !this.#isSetBack(id)) return;
    this.#youngest.set(id, life);
    this.#olderSince.delete(id);
    this.#endpoints.set(id, endpoint);
  }

  /** Whether an id has been listed as older only for long enough. */
  #isSetBack(id: string): boolean {
    const now = this.clock.now();
    const since = this.#olderSince.get(id) ?? now;
    this.#olderSince.set(id, since);
    return now - since >= setBackAfterMs;
  }

  #remove(id: string): void {
    this.#endpoints.delete(id);
    this.#olderSince.delete(id);
  }

  /** Forgets the ids that were listed first and are not registered. */
  #forgetOldest(): void {
    let excess = this.#youngest.size - this.#endpoints.size - maxRememberedIds;
    for (const id of this.#youngest.keys()) {
      if (excess <= 0) return;
      if (this.#endpoints.has(id)) continue;
      this.#youngest.delete(id);
      this.#olderSince.delete(id);
      excess--;
    }
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
