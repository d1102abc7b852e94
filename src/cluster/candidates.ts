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
import type { Member } from "./members.ts";

/** Candidates of each availability zone. */
const candidatesPerZone = 2;

/** Fewest candidates in all. */
const minCandidates = 8;

function compare(a: Member, b: Member): number {
  return b.cores - a.cores || hash32(a.entry) - hash32(b.entry);
}

/** The candidates among the live members, the largest first. */
export function candidatesOf(members: readonly Member[]): readonly Member[] {
  const ranked = members.filter((m) => m.accepting).sort(compare);
  const byZone = new Map<string, number>();
  const chosen = new Set<Member>();
  for (const member of ranked) {
    const before = byZone.get(member.zone) ?? 0;
    byZone.set(member.zone, before + 1);
    if (before < candidatesPerZone) chosen.add(member);
  }
  for (const member of ranked) {
    if (chosen.size >= minCandidates) break;
    chosen.add(member);
  }
  return ranked.filter((member) => chosen.has(member));
}
