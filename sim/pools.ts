/** Pools and queues of the simulation. */
import type { Queue } from "../src/catalog/index.ts";

/** Names of the pools; the last one is a standby pool without a queue. */
export const poolNames = ["quotes", "invoices", "spare"] as const;

/** The queue that feeds a pool. */
export function queueForPool(pool: string): Queue {
  return {
    name: `${pool}-queue`,
    authority: "model",
    prefix: `/${pool}/`,
    pool,
    priority: 0,
    maxAttempts: 3,
    sloMs: 600,
    stretch: 2,
    advised: false,
    isPublic: false,
  };
}
