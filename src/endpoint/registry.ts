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

/** Registered endpoints; notifies listeners after each batch of changes. */
export class EndpointRegistry {
  readonly #endpoints = new Map<string, TaskEndpoint>();
  readonly #listeners = new Set<() => void>();

  /** Replaces all endpoints. */
  reset(endpoints: readonly TaskEndpoint[]): void {
    this.#endpoints.clear();
    for (const e of endpoints) this.#endpoints.set(e.id, e);
    this.#notify();
  }

  /** Applies changes in order. */
  apply(changes: readonly RegistryChange[]): void {
    for (const change of changes) {
      if (change.kind === "removed") this.#endpoints.delete(change.id);
      else this.#endpoints.set(change.endpoint.id, change.endpoint);
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

  /** Registers a change listener; the returned function removes it. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
