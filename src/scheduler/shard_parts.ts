/** What the owner of a shard works with. */
import type { Clock } from "../clock/index.ts";
import type { PreviousOwner, ShardLease } from "../cluster/index.ts";
import type {
  Advisor,
  EndpointRegistry,
  TaskOrders,
} from "../endpoint/index.ts";
import type { Store } from "../store/index.ts";
import type { VacateState } from "../upkeep/index.ts";
import type { DecisionLog } from "./decision_log.ts";

/** What an owner works with. */
export interface ShardParts {
  readonly shard: string;
  readonly lease: ShardLease;
  readonly previous: PreviousOwner;
  readonly store: Store;
  readonly orders: TaskOrders;
  readonly advisor: Advisor;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Endpoints whose host is due for maintenance, by id. */
  readonly vacating: () => ReadonlyMap<string, VacateState>;
  /** Reads them anew; false when it can't. */
  readonly refreshVacating: () => Promise<boolean>;
  readonly crashed: (actor: string, err: unknown) => void;
  /** Called once when the shard belongs to another owner. */
  readonly lost: () => void;
}
