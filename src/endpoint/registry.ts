/**
 * Registry of the endpoints that run tasks, which register in the store.
 *
 * A restarted endpoint may keep its id; each start under an id is an
 * incarnation, identified by `life`.
 */
import type { Resources } from "../batch/index.ts";

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

/** Number of ids above which the lives of those not registered are forgotten. */
const maxKnownIds = 4_000;

/** Incarnations of one id, as its registrations have named them. */
interface KnownLives {
  readonly last: number;
  /** The one before; undefined if no other has been seen. */
  readonly previous: number | undefined;
}

/** Registered endpoints; notifies listeners after each batch of changes. */
export class EndpointRegistry {
  readonly #endpoints = new Map<string, TaskEndpoint>();
  /** Lives by id, also of endpoints that are not registered any more. */
  readonly #lives = new Map<string, KnownLives>();
  readonly #listeners = new Set<() => void>();

  /** Replaces all endpoints. */
  reset(endpoints: readonly TaskEndpoint[]): void {
    this.#endpoints.clear();
    for (const e of endpoints) this.#list(e);
    this.#notify();
  }

  /** Applies changes in order. */
  apply(changes: readonly RegistryChange[]): void {
    for (const change of changes) {
      if (change.kind === "removed") this.#endpoints.delete(change.id);
      else this.#list(change.endpoint);
    }
    this.#notify();
  }

  /** Returns the endpoint with an id. */
  get(id: string): TaskEndpoint | undefined {
    return this.#endpoints.get(id);
  }

  /** Returns all endpoints. */
  all(): readonly TaskEndpoint[] {
    return [...this.#endpoints.values()];
  }

  /** Returns the endpoints of a pool. */
  inPool(pool: string): readonly TaskEndpoint[] {
    return this.all().filter((e) => e.pool === pool);
  }

  /**
   * Whether the last registration of an id, which may be gone, names another
   * incarnation than `life`.
   */
  namesAnotherLife(id: string, life: number): boolean {
    const lives = this.#lives.get(id);
    return lives !== undefined && lives.last !== life;
  }

  /** Start of the last incarnation of an id that is known to have restarted. */
  restartedLife(id: string): number | undefined {
    const lives = this.#lives.get(id);
    return lives?.previous === undefined ? undefined : lives.last;
  }

  /** Registers a change listener; the returned function removes it. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #list(endpoint: TaskEndpoint): void {
    const { id, life } = endpoint;
    this.#endpoints.set(id, endpoint);
    const known = this.#lives.get(id);
    if (known?.last === life) return;
    this.#lives.set(id, { last: life, previous: known?.last });
    if (this.#lives.size > maxKnownIds) this.#forgetUnregistered();
  }

  #forgetUnregistered(): void {
    for (const id of this.#lives.keys()) {
      if (!this.#endpoints.has(id)) this.#lives.delete(id);
    }
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
