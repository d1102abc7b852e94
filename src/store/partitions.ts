/**
 * Partitioning of tables with many concurrent writers. A partition executes its
 * transactions one after another, so the rows of such a table are spread over
 * several partitions.
 */
import { hash32 } from "../hash.ts";

/**
 * Number of partitions of a spread table. A store that is 96 times slower than
 * usual executes about two transactions a second in each.
 */
const partitionsPerTable = 8;

/** Names of all partitions of a spread table, which start with `prefix`. */
export function partitionsOf(prefix: string): readonly string[] {
  return Array.from({ length: partitionsPerTable }, (_, i) => `${prefix}/${i}`);
}

/** Name of the partition of a key in a spread table. */
export function partitionOf(prefix: string, key: string): string {
  return `${prefix}/${hash32(key) % partitionsPerTable}`;
}
