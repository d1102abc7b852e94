/**
 * Assignment of unowned shards to live members.
 *
 * Entries differ in size, and an owner that is short of CPU time renews its
 * leases late. Shards are therefore distributed by the number of shards per
 * core.
 */
import { hash32 } from "../hash.ts";
import type { ClusterMember } from "./members.ts";

/** Rendezvous-hashing weight of a member for a shard. */
function rendezvousWeight(shard: string, entry: string): number {
  return hash32(`${shard}\n${entry}`);
}

/** Returns an order of shards that differs between the entries. */
export function compareByPreference(
  entry: string,
): (a: string, b: string) => number {
  return (a, b) => rendezvousWeight(b, entry) - rendezvousWeight(a, entry);
}

/** Shards per core after the member has acquired one more. */
function loadAfterNextShard(member: ClusterMember, shards: number): number {
  return (shards + 1) / member.cores;
}

/**
 * Assigns each shard that no live member holds to the candidate that would have
 * the fewest shards per core; the rendezvous weight breaks ties. Held shards
 * are not reassigned. Returns the entry by shard.
 */
export function assignShards(
  shards: readonly string[],
  members: readonly ClusterMember[],
  candidates: readonly ClusterMember[] = members,
): ReadonlyMap<string, string> {
  const accepting = candidates.filter((m) => m.accepting);
  const held = new Set(members.flatMap((m) => m.shards));
  const shardCounts = new Map(accepting.map((m) => [m.entry, m.shards.length]));
  const assigned = new Map<string, string>();
  for (const shard of [...shards].sort()) {
    if (held.has(shard) || accepting.length === 0) continue;
    const best = accepting.reduce((a, b) =>
      comparePreference(shard, shardCounts, a, b) <= 0 ? a : b
    );
    assigned.set(shard, best.entry);
    shardCounts.set(best.entry, (shardCounts.get(best.entry) ?? 0) + 1);
  }
  return assigned;
}

/** Orders members by load after one more shard, then by rendezvous weight. */
function comparePreference(
  shard: string,
  shardCounts: ReadonlyMap<string, number>,
  a: ClusterMember,
  b: ClusterMember,
): number {
  const byLoad = loadAfterNextShard(a, shardCounts.get(a.entry) ?? 0) -
    loadAfterNextShard(b, shardCounts.get(b.entry) ?? 0);
  if (byLoad !== 0) return byLoad;
  return rendezvousWeight(shard, b.entry) - rendezvousWeight(shard, a.entry);
}

/**
 * Returns a shard that the member `self` should release to balance the load, if
 * any: it has more shards per core than another accepting member would have
 * with one more. Never returns `pinned`.
 */
export function shardToRelease(
  self: string,
  members: readonly ClusterMember[],
  pinned?: string,
): string | undefined {
  const own = members.find((m) => m.entry === self);
  const others = members.filter((m) => m.accepting && m.entry !== self);
  if (own === undefined || others.length === 0) return undefined;
  const lowestLoad = Math.min(
    ...others.map((m) => loadAfterNextShard(m, m.shards.length)),
  );
  if (own.shards.length / own.cores <= lowestLoad) return undefined;
  const releasable = own.shards.filter((shard) => shard !== pinned);
  return releasable.sort((a, b) =>
    rendezvousWeight(a, self) - rendezvousWeight(b, self)
  )[0];
}
