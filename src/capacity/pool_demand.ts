/** The row in which the owner of a pool's shard reports its demand for hosts. */
import * as v from "valibot";
import { shardOfPool } from "../cluster/index.ts";
import type { StoreRowKey } from "../store/index.ts";

/** Schema of a pool's demand row. */
export const poolDemandSchema = v.object({
  /** Number of hosts that the pool's jobs require, and for relocations. */
  want: v.number(),
  /** Hosts among them for relocations, which come after the needs of jobs. */
  relocationHosts: v.optional(v.number()),
  /** Endpoints that are kept empty, so that their hosts may be moved. */
  offered: v.array(v.string()),
  /** Endpoints that do not answer; rows of older releases lack them. */
  silent: v.optional(v.array(v.string()), []),
});

/** Demand of a pool as reported by the owner of its shard. */
export type PoolDemand = v.InferOutput<typeof poolDemandSchema>;

/** Key of a pool's demand; the owner of its shard writes it. */
export function poolDemandKey(pool: string): StoreRowKey {
  return { table: "demand", partition: shardOfPool(pool), key: "demand" };
}
