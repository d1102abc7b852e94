/** The pools and queues of the model. */
import type { Queue } from "../src/catalog/index.ts";

/** The pools of the model; the last one is in standby. */
export const poolNames = ["quotes", "invoices", "spare"] as const;

/** The queue of a pool. */
export function queueOf(pool: string): Queue {
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
  };
}
