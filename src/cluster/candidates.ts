/**
 * Selection of the members that are candidates for owning shards.
 *
 * Each heartbeat is written by one member and read by all that track liveness,
 * so if all members sent heartbeats, store calls and bytes would grow with the
 * square of the cluster size. Only candidates and owners send them. Candidates
 * are the largest members, so that owners have enough CPU, and some members of
 * each availability zone, so that enough remain when a zone is partitioned off.
 */
import { hash32 } from "../hash.ts";
import type { ClusterMember } from "./members.ts";

/** Minimum number of candidates per availability zone. */
const candidatesPerZone = 2;

/** Minimum number of candidates in total. */
const minCandidates = 8;

/** Orders members by cores, descending; the hash of the entry breaks ties. */
function bySizeThenHash(a: ClusterMember, b: ClusterMember): number {
  return b.cores - a.cores || hash32(a.entry) - hash32(b.entry);
}

/** Selects the candidates among the live members, largest first. */
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
