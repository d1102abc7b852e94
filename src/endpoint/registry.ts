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

/** Number of ids above which those that are not registered are forgotten. */
const maxKnownIds = 4_000;

/** The incarnation that an id was last registered with. */
interface KnownLife {
  readonly life: number;
  /** Whether the id is known to have had no other one before. */
  readonly isFirst: boolean;
}

/** Registered endpoints; notifies listeners after each batch of changes. */
export class EndpointRegistry {
  readonly #endpoints = new Map<string, TaskEndpoint>();
  /** By id, also of endpoints that are not registered any more. */
  readonly #lives = new Map<string, KnownLife>();
  readonly #listeners = new Set<() => void>();

  /** Replaces all endpoints. */
  reset(endpoints: readonly TaskEndpoint[]): void {
    this.#endpoints.clear();
    for (const e of endpoints) this.#list(e, false);
    this.#notify();
  }

  /** Applies changes in order. */
  apply(changes: readonly RegistryChange[]): void {
    for (const change of changes) {
      if (change.kind === "removed") this.#endpoints.delete(change.id);
      else this.#list(change.endpoint, true);
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
   * Whether an incarnation is known to be the first of its id. One that was
   * found by a full read may have had others before.
   */
  isFirstLife({ id, life }: Pick<TaskEndpoint, "id" | "life">): boolean {
    const known = this.#lives.get(id);
    return known !== undefined && known.isFirst && known.life === life;
  }

  /** Registers a change listener; the returned function removes it. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** `isChange`: the row has been followed, so that an unknown id is a new one. */
  #list(endpoint: TaskEndpoint, isChange: boolean): void {
    const { id, life } = endpoint;
    this.#endpoints.set(id, endpoint);
    const known = this.#lives.get(id);
    if (known?.life === life) return;
    this.#lives.set(id, { life, isFirst: known === undefined && isChange });
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
