/** Tells which occurrences can no longer be on time. */
import type { IsLate } from "../capacity/index.ts";
import { occurrenceKey, rankOfJob } from "./job_rank.ts";
import type { RunTimes } from "../runs/index.ts";
import { onTimeTier } from "./task_order.ts";

/**
 * Creates the test for occurrences that can no longer be on time at the
 * wall-clock time `wall` (ms). It remembers its results, as it is called for
 * each step.
 */
export function createLateFilter(wall: number, runTimes: RunTimes): IsLate {
  const cache = new Map<string, boolean>();
  return (job, occurrence) => {
    const key = occurrenceKey(job.spec.id, occurrence);
    const cached = cache.get(key);
    if (cached !== undefined) return cached;
    const { tier } = rankOfJob(job, occurrence, wall, runTimes);
    cache.set(key, tier > onTimeTier);
    return tier > onTimeTier;
  };
}
