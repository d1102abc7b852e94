/** Splits rows to remove into batches that fit into one transaction each. */

import { chunks } from "../store/index.ts";

/** Returns batches of at most `size` items of the same partition. */
export function removalBatches<T>(
  items: readonly T[],
  partitionOf: (item: T) => string,
  size: number,
): readonly (readonly T[])[] {
  const byPartition = new Map<string, T[]>();
  for (const item of items) {
    const partition = partitionOf(item);
    const others = byPartition.get(partition) ?? [];
    byPartition.set(partition, others);
    others.push(item);
  }
  return [...byPartition.values()].flatMap((each) => chunks(each, size));
}
