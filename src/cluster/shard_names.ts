/**
 * Names of the shards. The name of a shard is also the store's partition of its
 * rows.
 *
 * The operator chooses the pools' names, so a pool may be called as the shard of
 * the fleet is. The name of such a pool's shard is extended. The fleet's shard and
 * the shards of all other pools keep the names that earlier releases know, so that
 * both releases respect the same leases while they run side by side.
 */

/** Name of the fleet shard, whose owner runs waves and moves hosts. */
export const fleetShard = "fleet";

/** Extension of a name that a pool must not give to its shard. */
const poolSuffix = ":pool";

/** Names that are extended: that of the fleet, and those that result from it. */
const extendedName = new RegExp(`^${fleetShard}(${poolSuffix})*$`);

/** Returns the name of a pool's shard; no two pools have the same one. */
export function shardOfPool(pool: string): string {
  return extendedName.test(pool) ? pool + poolSuffix : pool;
}

/** Returns the pool that a shard is of; undefined for the fleet shard. */
export function poolOfShard(shard: string): string | undefined {
  if (shard === fleetShard) return undefined;
  return extendedName.test(shard) ? shard.slice(0, -poolSuffix.length) : shard;
}
