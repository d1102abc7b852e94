/**
 * Store rows of batch jobs.
 *
 * The table `inbox-POOL` holds accepted jobs, forwards to jobs in other inboxes,
 * and cancellation requests. Any entry may write to it, each row once, so it is
 * spread over partitions. The
 * tables `progress`, `counts` and `learned` are written only by the owner of the
 * pool's shard, in the partition named after the shard.
 */
import * as v from "valibot";
import { shardOfPool } from "../cluster/index.ts";
import {
  parseJson,
  partitionOf,
  type RangeQuery,
  type StoreRowKey,
} from "../store/index.ts";

const cancelSuffix = "/cancel";

/** Table of the jobs accepted for a pool. */
export function inboxTable(pool: string): string {
  return `inbox-${pool}`;
}

/** Key of an accepted job. */
export function inboxKey(pool: string, job: string): StoreRowKey {
  const partition = partitionOf(pool, job);
  return { table: inboxTable(pool), partition, key: job };
}

/** Key of a job's cancellation request. */
export function cancelKey(pool: string, job: string): StoreRowKey {
  return { ...inboxKey(pool, job), key: job + cancelSuffix };
}

/** Job id of a cancellation request's key; undefined for any other key. */
export function jobOfCancelKey(key: string): string | undefined {
  return key.endsWith(cancelSuffix)
    ? key.slice(0, -cancelSuffix.length)
    : undefined;
}

const forwardSchema = v.object({ forwardedTo: v.string() });

/** Value of a job's inbox row that says in which pool's inbox the job is. */
export function encodeForward(pool: string): string {
  return JSON.stringify({ forwardedTo: pool });
}

/** The pool that an inbox row forwards to; undefined if the row is a job. */
export function forwardedTo(value: string): string | undefined {
  return parseJson(forwardSchema, value)?.forwardedTo;
}

/** Key of a job's progress. */
export function progressKey(pool: string, job: string): StoreRowKey {
  return { table: "progress", partition: shardOfPool(pool), key: job };
}

/** Range of all progress rows of a pool. */
export function progressRange(pool: string): RangeQuery {
  return { table: "progress", partition: shardOfPool(pool) };
}

/** Key of the number of waiting jobs by queue. */
export function waitingCountsKey(pool: string): StoreRowKey {
  return { table: "counts", partition: shardOfPool(pool), key: "waiting" };
}

/** Key of the run times that the owner of a pool's shard has observed. */
export function runTimesKey(pool: string): StoreRowKey {
  return { table: "learned", partition: shardOfPool(pool), key: "run-times" };
}

/** Key of the incarnations of a pool's endpoints that may discard ends unread. */
export function unconfirmedDiscardsKey(pool: string): StoreRowKey {
  return { ...runTimesKey(pool), key: "unconfirmed-discards" };
}

/** Range of what the owners of a pool's shard have learned. */
export function learnedRange(pool: string): RangeQuery {
  return { table: "learned", partition: shardOfPool(pool) };
}

const waitingCountsSchema = v.object({
  /** Term of the owner that has counted. */
  term: v.number(),
  /** Number of waiting jobs by queue. */
  queues: v.record(v.string(), v.number()),
});

/** Numbers of waiting jobs as an owner publishes them. */
export type WaitingCounts = v.InferOutput<typeof waitingCountsSchema>;

/** Encodes the numbers of waiting jobs. */
export function encodeWaitingCounts(counts: WaitingCounts): string {
  return JSON.stringify(counts);
}

/** Decodes them; undefined if the row is invalid, or of an older release. */
export function decodeWaitingCounts(value: string): WaitingCounts | undefined {
  return parseJson(waitingCountsSchema, value);
}

/** Range that contains exactly one key. */
export function singleKeyRange(
  { table, partition, key }: StoreRowKey,
): RangeQuery {
  return { table, partition, from: key, to: `${key}\0` };
}
