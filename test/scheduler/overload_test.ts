/** Tests which jobs are deferred in an overload. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { mulberry32 } from "../../sim/random.ts";
import { type DueWork, selectDeferredJobs } from "../../src/scheduler/index.ts";

/** Capacity of a pool of ten cores. */
const cpuMillis = 10_000;

/** A job with one second of work on one core, due at 1,000 ms. */
function job(key: string, fields: Partial<DueWork> = {}): DueWork {
  return {
    key,
    priority: 0,
    finishBy: 1_000,
    running: 0,
    waiting: 1_000_000,
    size: 1,
    randomFraction: 0.5,
    ...fields,
  };
}

/** Jobs that differ only in their keys. */
function jobs(count: number, fields: Partial<DueWork> = {}) {
  return Array.from({ length: count }, (_, i) => job(`j${i}`, fields));
}

describe("the selection of deferred jobs", () => {
  it("is empty while all jobs can be on time", () => {
    assert.equal(selectDeferredJobs(jobs(10), cpuMillis, 0).size, 0);
  });

  describe("with three times as much work as capacity", () => {
    it("defers as many jobs as can't be on time, and no more", () => {
      assert.equal(selectDeferredJobs(jobs(30), cpuMillis, 0).size, 20);
    });

    it("keeps jobs with a later deadline that still fit", () => {
      const later = job("later", { finishBy: 10_000 });
      const deferred = selectDeferredJobs([...jobs(30), later], cpuMillis, 0);
      assert.ok(!deferred.has("later"));
    });

    it("keeps jobs that are almost done", () => {
      const almostDone = job("begun", { running: 200_000, waiting: 100_000 });
      const deferred = selectDeferredJobs(
        [...jobs(30), almostDone],
        cpuMillis,
        0,
      );
      assert.ok(!deferred.has("begun"));
    });

    it("defers jobs of the lowest priority first", () => {
      const urgent = jobs(10, { priority: 0 });
      const others = Array.from(
        { length: 10 },
        (_, i) => job(`p${i}`, { priority: 1, randomFraction: 1 }),
      );
      const deferred = selectDeferredJobs([...urgent, ...others], cpuMillis, 0);
      assert.deepEqual([...deferred].sort(), others.map((o) => o.key).sort());
    });
  });

  describe("in repeated overloads with jobs of all sizes", () => {
    it("keeps the largest jobs at least half as often as the average job", () => {
      const random = mulberry32(3);
      let large = 0;
      let largeKept = 0;
      let all = 0;
      let allKept = 0;
      for (let round = 0; round < 100; round++) {
        const work = Array.from({ length: 40 }, (_, i) => {
          // Sizes as in production: at most four times the mean.
          const size = Math.min(4, 0.25 - 0.75 * Math.log(1 - random()));
          const waiting = size * 1_000_000;
          return job(`j${i}`, { size, waiting, randomFraction: random() });
        });
        const deferred = selectDeferredJobs(work, 2 * cpuMillis, 0);
        const sorted = [...work].sort((a, b) => b.size - a.size);
        sorted.forEach(({ key }, rank) => {
          const kept = deferred.has(key) ? 0 : 1;
          all++;
          allKept += kept;
          if (rank >= 4) return;
          large++;
          largeKept += kept;
        });
      }
      const ratio = largeKept / large / (allKept / all);
      assert.ok(ratio >= 0.5, `${ratio}`);
    });
  });

  it("keeps running work, even if it can't be on time", () => {
    const running = jobs(30, { running: 1_000_000, waiting: 0 });
    assert.equal(selectDeferredJobs(running, cpuMillis, 0).size, 0);
  });
});
