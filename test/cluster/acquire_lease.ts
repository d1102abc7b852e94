/** Helper that acquires shard leases for tests of shard owners. */
import type { Clock } from "../../src/clock/index.ts";
import { readOwner, ShardLease } from "../../src/cluster/index.ts";
import type { Store } from "../../src/store/index.ts";

/** Acquires a shard for the first process of an entry; throws on failure. */
export async function acquireLease(
  store: Store,
  clock: Clock,
  shard: string,
  entry: string,
): Promise<ShardLease> {
  const row = await readOwner(store, shard);
  const holder = { entry, boot: `${entry}#1` };
  const lease = await ShardLease.acquire(
    store,
    clock,
    shard,
    holder,
    row.unwrap(),
    "ended",
  );
  if (lease === undefined) throw new Error(`${entry} did not get ${shard}`);
  return lease;
}
