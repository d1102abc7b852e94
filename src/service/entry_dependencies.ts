/** Dependencies shared by the components of a batch entry. */
import type { CatalogHolder } from "../catalog/index.ts";
import type { Clock } from "../clock/index.ts";
import type { ProcessIdentity } from "../cluster/index.ts";
import type {
  Advisor,
  EndpointRegistry,
  TaskOrders,
} from "../endpoint/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import type { Store } from "../store/index.ts";
import type { HostControl, WaveRequests } from "../upkeep/index.ts";

/** Identity and size of an entry; `cores` is the CPU that it may use. */
export interface EntryIdentity extends ProcessIdentity {
  readonly zone: string;
  readonly cores: number;
}

/** Identity of an entry and its interfaces to the outside. */
export interface EntryDependencies {
  readonly self: EntryIdentity;
  readonly store: Store;
  readonly orders: TaskOrders;
  readonly advisor: Advisor;
  readonly control: HostControl;
  readonly requestedWaves: WaveRequests;
  readonly catalog: CatalogHolder;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  /**
   * Core-seconds of work on time that a ready core-second costs; undefined if
   * surges get no margin at their beginning.
   */
  readonly readyPrice?: number;
  readonly log: DecisionLog;
  /** Called with the name of an actor and the error that its loop threw. */
  readonly onCrash: (actor: string, err: unknown) => void;
}
