/** One entry's part in running batch jobs. */
export {
  BatchService,
  type FollowedTable,
  type ServiceParts,
} from "./batch_service.ts";
export { ShardKeeper } from "./shard_keeper.ts";
