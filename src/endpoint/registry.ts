/**
 * The endpoints that run tasks, as they register themselves in the store.
 *
 * An endpoint may start again under the id that it had; `life` tells one
 * start from another.
 */
import type { Resources } from "../batch/index.ts";

/** One registered endpoint. */
export interface TaskEndpoint {
  readonly id: string;
  readonly address: string;
  readonly pool: string;
  readonly zone: string;
  /** Wall-clock time of its start in ms; identifies one life. */
  readonly life: number;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Whether it takes no new work because it is about to leave. */
  readonly draining: boolean;
  /** Host that the endpoint runs on; empty when it doesn't say. */
  readonly host: string;
}

/** A change of the registry. */
export type RegistryChange =
  | { readonly kind: "listed"; readonly endpoint: TaskEndpoint }
  | { readonly kind: "removed"; readonly id: string };

/** Registered endpoints; tells its listeners after each batch of changes. */
export class EndpointRegistry {
  readonly #endpoints = new Map<string, TaskEndpoint>();
  readonly #listeners = new Set<() => void>();

  /** Replaces all that is known. */
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

  /** The endpoint of an id. */
  get(id: string): TaskEndpoint | undefined {
    return this.#endpoints.get(id);
  }

  /** Endpoints of a pool. */
  inPool(pool: string): readonly TaskEndpoint[] {
    return [...this.#endpoints.values()].filter((e) => e.pool === pool);
  }

  /** Calls `listener` after changes until the result is called. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
