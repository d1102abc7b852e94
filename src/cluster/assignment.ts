/**
 * Which live member takes a shard that nobody holds.
 *
 * Entries differ in size, and an owner that lacks processor time falls behind
 * with its leases. So shards go by the processor that a member has for each.
 */
import { hash32 } from "../hash.ts";
import type { Member } from "./members.ts";

/** Rendezvous weight of a member for a shard. */
function weight(shard: string, entry: string): number {
  return hash32(`${shard}\n${entry}`);
}

/** Shards a core once the member has taken one more. */
function loadWithOneMore(member: Member, shards: number): number {
  return (shards + 1) / member.cores;
}

/**
 * Spreads the shards that no live member holds: the candidate with the fewest
 * shards a core takes the next, and the rendezvous weight decides among
 * equals. Shards that are held stay where they are.
 */
export function assignShards(
  shards: readonly string[],
  members: readonly Member[],
  candidates: readonly Member[] = members,
): ReadonlyMap<string, string> {
  const taking = candidates.filter((m) => m.accepting);
  const held = new Set(members.flatMap((m) => m.shards));
  const counts = new Map(taking.map((m) => [m.entry, m.shards.length]));
  const assigned = new Map<string, string>();
  for (const shard of [...shards].sort()) {
    if (held.has(shard) || taking.length === 0) continue;
    const best = taking.reduce((a, b) =>
      compare(shard, counts, a, b) <= 0 ? a : b
    );
    assigned.set(shard, best.entry);
    counts.set(best.entry, (counts.get(best.entry) ?? 0) + 1);
  }
  return assigned;
}

function compare(
  shard: string,
  counts: ReadonlyMap<string, number>,
  a: Member,
  b: Member,
): number {
  const byLoad = loadWithOneMore(a, counts.get(a.entry) ?? 0) -
    loadWithOneMore(b, counts.get(b.entry) ?? 0);
  if (byLoad !== 0) return byLoad;
  return weight(shard, b.entry) - weight(shard, a.entry);
}

/**
 * A shard that its holder should release: one of a member that has more
 * shards a core than another accepting member would have with one more, but
 * never `pinned`.
 */
export function shardToRelease(
  self: string,
  members: readonly Member[],
  pinned?: string,
): string | undefined {
  const own = members.find((m) => m.entry === self);
  const others = members.filter((m) => m.accepting && m.entry !== self);
  if (own === undefined || others.length === 0) return undefined;
  const least = Math.min(
    ...others.map((m) => loadWithOneMore(m, m.shards.length)),
  );
  if (own.shards.length / own.cores <= least) return undefined;
  const movable = own.shards.filter((shard) => shard !== pinned);
  return movable.sort((a, b) => weight(a, self) - weight(b, self))[0];
}
