/**
 * Endpoints that their pool has closed, as it wants fewer hosts, while tasks
 * wait that would fit there.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { JobSpec } from "../../src/batch/index.ts";
import {
  createPool,
  endpointCount,
  jobOf,
  jobsOf,
  leaveOneTaskEach,
  type OccupiedPool,
  stepOf,
} from "./occupied_pool.ts";

/**
 * Time for which no task of a job may be running while one could, beside free
 * capacity, in ms (rule LOST).
 */
const maxIdleMs = 3_000;

/** Tasks of 0.9 cores that use half of the pool's 192 cores. */
const minBusyTasks = 107;

/** Tasks of 0.9 cores that use three quarters of the pool's 192 cores. */
const maxBusyTasks = 160;

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
  describe("when a long task on each of them keeps them from moving", () => {
    // Guards against LOST: late jobs count for a quarter of their size, so most
    // endpoints were closed until their long tasks ended, and late jobs waited
    // beside them.
    it("lets no late job wait while under half of it is in use", async () => {
      const pool = await createPool();
      await leaveOneTaskEach(pool);
      const late = jobsOf(90, 1_000, 900);
      pool.submit(late);
      await pool.advance(maxIdleMs);
      const { length } = idleJobs(pool, late);
      assert.equal(length, 0, `${length} jobs have nothing running`);
      pool.owner.stop();
    });

    // Guards against LOST: late jobs filled the open endpoints, also the spare
    // one, and a task that lasts waited beside the closed ones.
    it("lets no task that lasts wait, however much is in use", async () => {
      const pool = await createPool();
      await leaveOneTaskEach(pool);
      pool.submit(jobsOf(390, 1_000, 900));
      await pool.advance(maxIdleMs);
      const changes = { longRunning: true, maxUnavailable: 1 };
      const lasting = jobOf(2_000, stepOf(1, 900, changes));
      pool.submit([lasting]);
      await pool.advance(maxIdleMs);
      assert.equal(pool.endpoints.countRuns(lasting), 1);
      pool.owner.stop();
    });

    it("logs how many endpoints are closing, and how much is in use", async () => {
      const pool = await createPool();
      await leaveOneTaskEach(pool);
      const logged = pool.decisions
        .findLast(({ event }) => event === "pool-demand")?.fields;
      assert.equal(logged?.want, 2);
      assert.equal(logged?.closing, endpointCount - 2);
      // One task of 0.9 cores on each endpoint of 16.
      assert.equal(logged?.usedShare, 0.06);
      pool.owner.stop();
    });

    it("still keeps endpoints closed while much of it is in use", async () => {
      const pool = await createPool();
      await leaveOneTaskEach(pool);
      pool.submit(jobsOf(400, 1_000, 900));
      await pool.advance(maxIdleMs);
      const started = pool.endpoints.runCounts.reduce((sum, n) => sum + n, 0);
      assert.ok(started >= minBusyTasks, `${started} tasks`);
      assert.ok(started <= maxBusyTasks, `${started} tasks`);
      pool.owner.stop();
    });
  });

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
