/**
 * Rows of batch jobs in the store.
 *
 * `inbox-SHARD` holds accepted jobs and cancel marks, written once by any
 * entry, and is spread over partitions. `progress` and `counts` are written by
 * the shard's owner alone; their partition is the shard.
 */
import * as v from "valibot";
import { partitionOf, type RangeQuery, type RowKey } from "../store/index.ts";

const cancelSuffix = "/cancel";

/** Table of the accepted jobs of a shard. */
export function inboxTable(shard: string): string {
  return `inbox-${shard}`;
}

/** Row of an accepted job. */
export function inboxKey(shard: string, job: string): RowKey {
  const partition = partitionOf(shard, job);
  return { table: inboxTable(shard), partition, key: job };
}

/** Row that cancels a job. */
export function cancelKey(shard: string, job: string): RowKey {
  return { ...inboxKey(shard, job), key: job + cancelSuffix };
}

/** The job that a cancel mark names; undefined for other keys. */
export function cancelledJob(key: string): string | undefined {
  return key.endsWith(cancelSuffix)
    ? key.slice(0, -cancelSuffix.length)
    : undefined;
}

/** Row of a job's progress. */
export function progressKey(shard: string, job: string): RowKey {
  return { table: "progress", partition: shard, key: job };
}

/** All progress rows of a shard. */
export function progressRange(shard: string): RangeQuery {
  return { table: "progress", partition: shard };
}

/** Row with the number of waiting jobs by queue. */
export function countsKey(shard: string): RowKey {
  return { table: "counts", partition: shard, key: "waiting" };
}

/** Row with the run times that a shard's owner has learned. */
export function learnedKey(shard: string): RowKey {
  return { table: "learned", partition: shard, key: "run-times" };
}

/** Waiting jobs by queue. */
export const countsSchema = v.record(v.string(), v.number());

/** The range that holds just one key. */
export function onlyKey({ table, partition, key }: RowKey): RangeQuery {
  return { table, partition, from: key, to: `${key}\0` };
}
