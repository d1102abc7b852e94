/**
 * Which members stand ready to take shards.
 *
 * Every heartbeat is written by one member and read by all that have to know
 * who lives, so heartbeats of all members would cost calls and bytes that grow
 * with the square of their number. Only candidates show that often that they
 * live: the largest members, so that owners have the processor that they need,
 * and some of each availability zone, so that a zone that is cut off leaves
 * enough of them elsewhere.
 */
import { hash32 } from "../hash.ts";
import type { ClusterMember } from "./members.ts";

/** Candidates of each availability zone. */
const candidatesPerZone = 2;

/** Fewest candidates in all. */
const minCandidates = 8;

function bySizeThenHash(a: ClusterMember, b: ClusterMember): number {
  return b.cores - a.cores || hash32(a.entry) - hash32(b.entry);
}

/** The candidates among the live members, the largest first. */
export function selectCandidates(
  members: readonly ClusterMember[],
): readonly ClusterMember[] {
  const ranked = members.filter((m) => m.accepting).sort(bySizeThenHash);
  const countByZone = new Map<string, number>();
  const selected = new Set<ClusterMember>();
  for (const member of ranked) {
    const higherRanked = countByZone.get(member.zone) ?? 0;
    countByZone.set(member.zone, higherRanked + 1);
    if (higherRanked < candidatesPerZone) selected.add(member);
  }
  for (const member of ranked) {
    if (selected.size >= minCandidates) break;
    selected.add(member);
  }
  return ranked.filter((member) => selected.has(member));
}
