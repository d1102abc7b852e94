/** The endpoints to vacate now or later, as the fleet's owner has requested. */
import type { Result } from "ts-results";
import { fleetShard } from "../cluster/index.ts";
import {
  type Store,
  type StoreFailure,
  type StoreRow,
  TableWatch,
} from "../store/index.ts";
import {
  decodeVacate,
  type VacateState,
  vacateTable,
} from "../upkeep/index.ts";

/** Follows the endpoints to vacate. */
export class VacatingEndpoints {
  /** Follows the table; polled by its user. */
  readonly watch: TableWatch;
  readonly #states = new Map<string, VacateState>();
  readonly #planned = new Set<string>();

  constructor(store: Store) {
    this.watch = new TableWatch(
      store,
      vacateTable,
      [fleetShard],
      {
        reset: (rows) => this.#reset(rows),
        changed: (changes) => {
          for (const { kind, row } of changes) {
            if (kind === "removed") this.#remove(row.key);
            else this.#put(row);
          }
        },
      },
    );
  }

  /** State of each endpoint to vacate, by id. */
  get states(): ReadonlyMap<string, VacateState> {
    return this.#states;
  }

  /** Ids of the endpoints that are to be vacated later in a wave. */
  get planned(): ReadonlySet<string> {
    return this.#planned;
  }

  /** Reads the table again, in case the feed is behind. */
  refresh(): Promise<Result<void, StoreFailure>> {
    return this.watch.refresh();
  }

  #reset(rows: readonly StoreRow[]): void {
    this.#states.clear();
    this.#planned.clear();
    for (const row of rows) this.#put(row);
  }

  #put({ key, value }: Pick<StoreRow, "key" | "value">): void {
    this.#remove(key);
    const state = decodeVacate(value);
    if (state === "planned") this.#planned.add(key);
    else this.#states.set(key, state);
  }

  #remove(key: string): void {
    this.#states.delete(key);
    this.#planned.delete(key);
  }
}
