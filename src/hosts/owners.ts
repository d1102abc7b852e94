/**
 * Assignment of each host to the one entry that sends to it.
 *
 * Rendezvous hashing (Thaler and Ravishankar, 1998): the entry with the
 * highest hash of entry and host owns the host, so a change of the entries
 * reassigns only the hosts of the entry that came or went. An entry of the
 * host's own availability zone goes before any other.
 */
import { createHash } from "node:crypto";

/** An entry that may own hosts. */
export interface Candidate {
  readonly entry: string;
  readonly zone: string;
}

/** Score of an entry for a host; higher wins. */
function score(entry: string, host: string): number {
  const digest = createHash("sha1").update(`${entry}\n${host}`).digest();
  return digest.readUIntBE(0, 6);
}

/** Orders the candidates for a host by precedence. */
export function rankOwners(
  host: string,
  zone: string,
  candidates: readonly Candidate[],
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

/** The entry that owns a host, or undefined without candidates. */
export function ownerOf(
  host: string,
  zone: string,
  candidates: readonly Candidate[],
): string | undefined {
  return rankOwners(host, zone, candidates)[0];
}
