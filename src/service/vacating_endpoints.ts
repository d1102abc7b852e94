/** The endpoints to vacate, as the fleet's owner has requested. */
import type { Result } from "ts-results";
import { fleetShard } from "../cluster/index.ts";
import {
  mapHandler,
  type Store,
  type StoreFailure,
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

  constructor(store: Store) {
    this.watch = new TableWatch(
      store,
      vacateTable,
      [fleetShard],
      mapHandler(this.#states, ({ value }) => decodeVacate(value)),
    );
  }

  /** State of each endpoint to vacate, by id. */
  get states(): ReadonlyMap<string, VacateState> {
    return this.#states;
  }

  /** Reads the table again, in case the feed is behind. */
  refresh(): Promise<Result<void, StoreFailure>> {
    return this.watch.refresh();
  }
}
