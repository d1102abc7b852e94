/** Members, their shards, and the leases on them. */
export { assignShards, shardToRelease } from "./assignment.ts";
export { candidatesOf } from "./candidates.ts";
export {
  type Member,
  memberLeaseMs,
  memberSchema,
  MemberView,
} from "./members.ts";
export {
  type CommitFailure,
  type Holder,
  leaseEntries,
  type Owner,
  type OwnerRow,
  ownerTable,
  type PreviousOwner,
  readOwner,
  ShardLease,
} from "./shard_lease.ts";
