/**
 * The owner of a shard: it takes the jobs of a pool over, places their tasks on
 * endpoints and supervises their runs.
 */
export { CommitQueue } from "./commit_queue.ts";
export type { ShardDependencies } from "./shard_dependencies.ts";
export { ShardOwner } from "./shard_owner.ts";
