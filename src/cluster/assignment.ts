/** Which live member takes a shard that nobody holds. */
import { createHash } from "node:crypto";
import type { Member } from "./members.ts";

/** Rendezvous weight of a member for a shard. */
function weight(shard: string, entry: string): number {
  return createHash("sha256").update(`${shard}\n${entry}`).digest()
    .readUInt32BE(0);
}

/**
 * Spreads the shards that no live member holds: the member with the fewest
 * shards takes the next, and the rendezvous weight decides among equals.
 * Shards that are held stay where they are.
 */
export function assignShards(
  shards: readonly string[],
  members: readonly Member[],
): ReadonlyMap<string, string> {
  const taking = members.filter((m) => m.accepting);
  const held = new Set(members.flatMap((m) => m.shards));
  const load = new Map(taking.map((m) => [m.entry, m.shards.length]));
  const assigned = new Map<string, string>();
  for (const shard of [...shards].sort()) {
    if (held.has(shard) || taking.length === 0) continue;
    const best = taking.reduce((a, b) =>
      compare(shard, load, a, b) <= 0 ? a : b
    );
    assigned.set(shard, best.entry);
    load.set(best.entry, (load.get(best.entry) ?? 0) + 1);
  }
  return assigned;
}

function compare(
  shard: string,
  load: ReadonlyMap<string, number>,
  a: Member,
  b: Member,
): number {
  const byLoad = (load.get(a.entry) ?? 0) - (load.get(b.entry) ?? 0);
  if (byLoad !== 0) return byLoad;
  return weight(shard, b.entry) - weight(shard, a.entry);
}

/**
 * A shard that its holder should release: one of a member with at least two
 * more than the least loaded member that accepts shards, but never `pinned`.
 */
export function shardToRelease(
  self: string,
  members: readonly Member[],
  pinned?: string,
): string | undefined {
  const own = members.find((m) => m.entry === self);
  const others = members.filter((m) => m.accepting && m.entry !== self);
  if (own === undefined || others.length === 0) return undefined;
  const least = Math.min(...others.map((m) => m.shards.length));
  if (own.shards.length < least + 2) return undefined;
  const movable = own.shards.filter((shard) => shard !== pinned);
  return movable.sort((a, b) => weight(a, self) - weight(b, self))[0];
}
