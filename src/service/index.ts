/** One entry's part in running batch jobs. */
export {
  BatchService,
  type BatchServiceDependencies,
  type FollowedTable,
} from "./batch_service.ts";
export { ShardManager } from "./shard_keeper.ts";
