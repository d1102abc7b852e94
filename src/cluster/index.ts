/** Cluster membership, shard assignment and shard leases. */
export {
  assignShards,
  compareByPreference,
  shardToRelease,
} from "./assignment.ts";
export { selectCandidates } from "./candidates.ts";
export {
  type ClusterMember,
  livenessCommitAgeMs,
  livenessCommitIntervalMs,
  memberLeaseMs,
  memberSchema,
  MemberView,
} from "./members.ts";
export {
  type CommitFailure,
  leaseTransactionEntries,
  type OwnerRecord,
  type OwnerRow,
  ownerTable,
  type PreviousOwner,
  type PreviousOwnerState,
  type ProcessIdentity,
  readOwner,
  ShardLease,
  silentOwnerEffectMs,
} from "./shard_lease.ts";
export { fleetShard, poolOfShard, shardOfPool } from "./shard_names.ts";
