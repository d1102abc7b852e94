/** The batch service of one entry. */
export {
  BatchService,
  type BatchServiceDependencies,
  type FollowedTable,
} from "./batch_service.ts";
export { openPort, type OpenPortDependencies } from "./open_port.ts";
export {
  ShardManager,
  type ShardManagerDependencies,
} from "./shard_manager.ts";
export { VacatingEndpoints } from "./vacating_endpoints.ts";
