/** Hash functions that give the same value on every host. */
import { createHash } from "node:crypto";

/** The first 32 bits of a text's SHA-256 digest, as an unsigned integer. */
export function hash32(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
