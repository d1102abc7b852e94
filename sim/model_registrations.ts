/**
 * Model of the endpoints' registrations in the store: rows that the endpoints
 * write, rows of other writers under an endpoint's id, rows that are missing,
 * and readers that go back to an older state of the table.
 */
import type { EndpointRegistry, TaskEndpoint } from "../src/endpoint/index.ts";
import { type Store, TableWatch } from "../src/store/index.ts";
import type { ModelStore } from "./model_store.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** Table in which endpoints register. */
const registrationTable = "registrations";

/** Time by which an older row's start precedes the true one, in ms. */
const olderLifeMs = 60_000;

/**
 * Kinds of row that another writer puts under an endpoint's id: the start of
 * the incarnation is missing, earlier, or later than the true one; the address
 * or the pool is that of another endpoint; or the row can't be read.
 */
export const foreignRowKinds = [
  "no-life",
  "older-life",
  "newer-life",
  "other-address",
  "other-pool",
  "unreadable",
] as const;

/** One of `foreignRowKinds`. */
export type ForeignRowKind = typeof foreignRowKinds[number];

/** A row as written; an endpoint's own rows have all fields. */
type RegistrationRow = Partial<TaskEndpoint> & Pick<TaskEndpoint, "id">;

/** A change of a row; no value stands for its removal. */
interface RowChange {
  readonly at: number;
  readonly id: string;
  readonly value: string | undefined;
}

/**
 * Decodes a row as a reader does; undefined if it can't be read or does not
 * tell the start of the incarnation.
 */
function decodeRow(value: string): TaskEndpoint | undefined {
  try {
    const row: RegistrationRow = JSON.parse(value);
    return row.life === undefined ? undefined : row as TaskEndpoint;
  } catch {
    return undefined;
  }
}

/** The row that another writer puts in place of an endpoint's own. */
function foreignRow(
  kind: ForeignRowKind,
  own: TaskEndpoint,
  other: TaskEndpoint,
): string {
  const { life, ...withoutLife } = own;
  switch (kind) {
    case "no-life":
      return JSON.stringify(withoutLife);
    case "older-life":
      return JSON.stringify({ ...own, life: life - olderLifeMs });
    case "newer-life":
      return JSON.stringify({ ...own, life: life + 1 });
    case "other-address":
      return JSON.stringify({ ...own, address: other.address });
    case "other-pool":
      return JSON.stringify({ ...own, pool: other.pool });
    case "unreadable":
      return "{";
  }
}

/** The table of registrations and its readers. */
export class ModelRegistrations {
  readonly #history: RowChange[] = [];

  constructor(
    private readonly store: ModelStore,
    private readonly clock: VirtualClock,
  ) {}

  /** Writes the endpoint's own row. */
  register(info: TaskEndpoint): void {
    this.#write(info.id, JSON.stringify(info));
  }

  /** Whether the endpoint's row is as it has written it. */
  isListed(info: TaskEndpoint): boolean {
    const row = this.store.table(registrationTable)
      .find(({ key }) => key === info.id);
    return row?.value === JSON.stringify(info);
  }

  /** Removes the endpoint's row. */
  unregister({ id }: TaskEndpoint): void {
    this.#write(id, undefined);
  }

  /**
   * Writes another writer's row under the id of `own`; `other` is the endpoint
   * whose address or pool the row names.
   */
  writeForeign(
    kind: ForeignRowKind,
    own: TaskEndpoint,
    other: TaskEndpoint,
  ): void {
    this.#write(own.id, foreignRow(kind, own, other));
  }

  /**
   * Sets a reader back to the state of the table `ageMs` ago, and to the
   * present state after `lagMs`.
   */
  setBack(registry: EndpointRegistry, ageMs: number, lagMs: number): void {
    registry.reset(this.#stateAt(this.clock.now() - ageMs));
    this.clock.after(lagMs, () => {
      registry.reset(this.#stateAt(this.clock.now()));
    });
  }

  /** Makes a registry follow the table through a process's store client. */
  watch(store: Store, registry: EndpointRegistry): TableWatch {
    return new TableWatch(store, registrationTable, [""], {
      reset: (rows) =>
        registry.reset(
          rows.map((row) => decodeRow(row.value)).filter((e) =>
            e !== undefined
          ),
        ),
      changed: (changes) =>
        registry.apply(changes.map((change) => {
          const endpoint = change.kind === "put"
            ? decodeRow(change.row.value)
            : undefined;
          return endpoint === undefined
            ? { kind: "removed", id: change.row.key } as const
            : { kind: "listed", endpoint } as const;
        })),
    });
  }

  #stateAt(at: number): readonly TaskEndpoint[] {
    const rows = new Map<string, string | undefined>();
    for (const change of this.#history) {
      if (change.at <= at) rows.set(change.id, change.value);
    }
    return [...rows.values()].filter((v) => v !== undefined).map(decodeRow)
      .filter((e) => e !== undefined);
  }

  #write(id: string, value: string | undefined): void {
    this.#history.push({ at: this.clock.now(), id, value });
    const row = { table: registrationTable, partition: "", key: id };
    this.store.write(row, value);
  }
}
