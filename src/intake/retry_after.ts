/** How long callers are asked to wait before they repeat a refused request. */
import { hash32 } from "../hash.ts";

/** Shortest wait, in s: the cause may be over at any moment. */
export const minRetryAfterS = 1;

/** Longest wait while the store does not answer, in s. */
const maxSilentRetryAfterS = 8;

/** Longest wait for room, in s; what arrives until then is not known. */
const maxRoomRetryAfterS = 20;

/** Share of the wait for room over which the callers' returns are spread. */
const spreadShare = 0.5;

/** Returns a number of ms as whole seconds within bounds. */
function wholeSeconds(ms: number, maxS: number): number {
  return Math.min(maxS, Math.max(minRetryAfterS, Math.ceil(ms / 1_000)));
}

/**
 * Returns the wait in s while the store is silent: as long again as it has been
 * silent, as the rest of an outage of unknown length.
 */
export function retryAfterSilence(silentMs: number): number {
  return wholeSeconds(silentMs, maxSilentRetryAfterS);
}

/**
 * Returns the wait in s until there is room. Callers of different jobs get
 * different waits, so that they don't return at the same moment.
 */
export function retryAfterRoom(roomInMs: number, job: string): number {
  const spread = 1 + spreadShare * hash32(job) / 2 ** 32;
  return wholeSeconds(roomInMs * spread, maxRoomRetryAfterS);
}
