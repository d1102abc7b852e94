/**
 * Memory of the header or trailer lines that a connection has sent and that are
 * not complete. The HTTP parser holds them, and tells of them only in the end.
 */
import type { Buffer } from "node:buffer";
import { headerOverheadBytes, maxHeaderCount } from "./limits.ts";

const newline = 0x0a;

/** Strings that the parser holds of a line: its name and its value. */
const stringsPerLine = 2;

/** Number of lines that end in some bytes. */
function countLines(bytes: Buffer): number {
  let count = 0;
  let at = bytes.indexOf(newline);
  while (at >= 0) {
    count++;
    at = bytes.indexOf(newline, at + 1);
  }
  return count;
}

/** Lines of one connection that are not complete. */
export class PendingLines {
  #bytes = 0;
  #lines = 0;

  /** Estimated memory, in bytes. */
  get size(): number {
    const kept = Math.min(this.#lines, maxHeaderCount);
    return this.#bytes + kept * stringsPerLine * headerOverheadBytes;
  }

  /** Adds what has come. */
  add(bytes: Buffer): void {
    this.#bytes += bytes.length;
    this.#lines += countLines(bytes);
  }

  /** Forgets the lines, as they are complete, or no lines at all. */
  clear(): void {
    this.#bytes = 0;
    this.#lines = 0;
  }
}
