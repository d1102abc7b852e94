/**
 * Assignment of each host to its owner, the one entry that sends requests to
 * it.
 *
 * Rendezvous hashing (Thaler and Ravishankar, 1998): the entry with the
 * highest hash of entry and host owns the host. When an entry joins or leaves,
 * only the hosts that it gains or loses are reassigned. Entries in the host's
 * availability zone take precedence over all others.
 */
import { createHash } from "node:crypto";

/** An entry that may own hosts, with its availability zone. */
export interface OwnerCandidate {
  readonly entry: string;
  readonly zone: string;
}

/** Rendezvous hash of an entry and a host; the highest score wins. */
function score(entry: string, host: string): number {
  const digest = createHash("sha1").update(`${entry}\n${host}`).digest();
  return digest.readUIntBE(0, 6);
}

/** Returns the candidates for a host in the zone `zone`, the owner first. */
export function rankOwners(
  host: string,
  zone: string,
  candidates: readonly OwnerCandidate[],
): readonly string[] {
  return candidates
    .map((c) => ({
      entry: c.entry,
      sameZone: c.zone === zone ? 1 : 0,
      score: score(c.entry, host),
    }))
    .sort((a, b) => b.sameZone - a.sameZone || b.score - a.score)
    .map((c) => c.entry);
}

/** Returns the owner of a host; undefined when there are no candidates. */
export function ownerOf(
  host: string,
  zone: string,
  candidates: readonly OwnerCandidate[],
): string | undefined {
  return rankOwners(host, zone, candidates)[0];
}
