/**
 * Rows that many writers put at the same time are spread over partitions,
 * because a partition carries out its transactions one after another.
 */
import { hash32 } from "../hash.ts";

/**
 * Partitions of a spread table. A store that is 96 times as slow carries out
 * about two transactions a second in each.
 */
const partitionsPerTable = 8;

/** The partitions of a spread table whose names begin with `prefix`. */
export function partitionsOf(prefix: string): readonly string[] {
  return Array.from({ length: partitionsPerTable }, (_, i) => `${prefix}/${i}`);
}

/** The partition of a key in a spread table. */
export function partitionOf(prefix: string, key: string): string {
  return `${prefix}/${hash32(key) % partitionsPerTable}`;
}
