/** Hashes that are equal on all hosts. */
import { createHash } from "node:crypto";

/** First 32 bits of the SHA-256 of a text, as an unsigned number. */
export function hash32(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
