/** What every part of an entry works with. */
import type { CatalogHolder } from "../catalog/index.ts";
import type { Clock } from "../clock/index.ts";
import type { ProcessIdentity } from "../cluster/index.ts";
import type {
  Advisor,
  EndpointRegistry,
  TaskOrders,
} from "../endpoint/index.ts";
import type { DecisionLog } from "../scheduler/index.ts";
import type { Store } from "../store/index.ts";
import type { HostControl, WaveBoard } from "../upkeep/index.ts";

/** What an entry says of itself; `cores` is the processor it may use. */
export interface EntryIdentity extends ProcessIdentity {
  readonly zone: string;
  readonly cores: number;
}

/** The outside of an entry, and its identity. */
export interface EntryDependencies {
  readonly self: EntryIdentity;
  readonly store: Store;
  readonly orders: TaskOrders;
  readonly advisor: Advisor;
  readonly control: HostControl;
  readonly board: WaveBoard;
  readonly catalog: CatalogHolder;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly crashed: (actor: string, err: unknown) => void;
}
