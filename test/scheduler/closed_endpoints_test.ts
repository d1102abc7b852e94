/**
 * Endpoints that their pool has closed, as it wants fewer hosts, while tasks
 * wait that would fit there.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { JobSpec } from "../../src/batch/index.ts";
import {
  createPool,
  jobOf,
  jobsOf,
  type OccupiedPool,
  stepOf,
} from "./occupied_pool.ts";

/**
 * Time after its last run, or after its acceptance, from which a task that lasts
 * must not wait for another 3 s, in ms (rule LOST).
 */
const maxLastingIdleMs = 6_000;

/** Time in which a pool without jobs offers its endpoints, in ms. */
const emptyPoolMs = 3_000;

/** Jobs of which nothing runs. */
function idleJobs(
  { endpoints }: OccupiedPool,
  jobs: readonly JobSpec[],
): readonly JobSpec[] {
  return jobs.filter((job) => endpoints.countRuns(job) === 0);
}

describe("a pool that wants fewer hosts than it has", () => {
  describe("when no other pool takes the hosts that it offers", () => {
    // Guards against LOST: the offers were withdrawn, and made again before the
    // endpoints could get a task, over and over. Jobs and tasks that last waited
    // as long as late jobs did, beside a pool half empty.
    it("lets neither late jobs nor tasks that last wait for long", async () => {
      const pool = await createPool();
      await pool.advance(emptyPoolMs);
      const late = jobsOf(160, 1_000, 900);
      pool.submit(late);
      await pool.advance(1_000);
      const lasting = jobOf(
        2_000,
        stepOf(2, 900, {
          longRunning: true,
          maxUnavailable: 1,
          maxPerEndpoint: 1,
        }),
      );
      pool.submit([lasting]);
      await pool.advance(maxLastingIdleMs);
      assert.equal(pool.endpoints.countRuns(lasting), 2);
      const { length } = idleJobs(pool, late);
      assert.equal(length, 0, `${length} jobs have nothing running`);
      pool.owner.stop();
    });
  });
});
