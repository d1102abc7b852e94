/** Dependencies and callbacks of the owner of a shard. */
import type { CatalogHolder } from "../catalog/index.ts";
import type { Clock } from "../clock/index.ts";
import type { PreviousOwner, ShardLease } from "../cluster/index.ts";
import type {
  Advisor,
  EndpointRegistry,
  TaskOrders,
} from "../endpoint/index.ts";
import type { Store } from "../store/index.ts";
import type { VacateState } from "../upkeep/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";

/** Dependencies and callbacks of a `ShardOwner`. */
export interface ShardDependencies {
  /** Name of the pool that the shard is of. */
  readonly shard: string;
  readonly lease: ShardLease;
  /** What is known about the previous owner of the shard. */
  readonly previous: PreviousOwner;
  /** Whether the entry's heartbeats fail, so that its commits must show that it is alive. */
  readonly areHeartbeatsLate: () => boolean;
  readonly store: Store;
  readonly orders: TaskOrders;
  readonly advisor: Advisor;
  readonly registry: EndpointRegistry;
  /** The operator's catalog, for the workspaces. */
  readonly catalog: Pick<CatalogHolder, "current">;
  readonly clock: Clock;
  /**
   * Core-seconds of work on time that a ready core-second costs; undefined if
   * surges get no margin at their beginning.
   */
  readonly readyPrice?: number;
  readonly log: DecisionLog;
  /** Endpoints to be vacated for the maintenance of their host, by id. */
  readonly vacating: () => ReadonlyMap<string, VacateState>;
  /** Ids of the endpoints that are to be vacated later in a wave. */
  readonly plannedVacates: () => ReadonlySet<string>;
  /** Reads the vacating endpoints again; returns false when that fails. */
  readonly refreshVacating: () => Promise<boolean>;
  /** Called when an actor of the owner has thrown an error. */
  readonly onCrash: (actor: string, err: unknown) => void;
  /** Called once, when the shard has been lost to another owner. */
  readonly onLost: () => void;
}
