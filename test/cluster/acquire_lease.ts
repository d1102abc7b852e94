/** Leases for tests of what an owner does. */
import type { Clock } from "../../src/clock/index.ts";
import { readOwner, ShardLease } from "../../src/cluster/index.ts";
import type { Store } from "../../src/store/index.ts";

/** Takes a shard for the first start of an entry; fails when it can't. */
export async function acquireLease(
  store: Store,
  clock: Clock,
  shard: string,
  entry: string,
): Promise<ShardLease> {
  const row = await readOwner(store, shard);
  const holder = { entry, boot: `${entry}#1` };
  const previous = row.unwrap();
  const lease = await ShardLease.acquire(store, clock, shard, holder, previous);
  if (lease === undefined) throw new Error(`${entry} has not got ${shard}`);
  return lease;
}
