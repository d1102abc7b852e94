/** Which jobs are put off in an overload. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../sim/random.ts";
import { type DueWork, jobsToPutOff } from "../../src/scheduler/index.ts";

/** A pool of ten cores. */
const cpuMillis = 10_000;

/** A job of a second of work on one core, due a second from now. */
function job(key: string, fields: Partial<DueWork> = {}): DueWork {
  return {
    key,
    priority: 0,
    finishBy: 1_000,
    running: 0,
    waiting: 1_000_000,
    size: 1,
    randomDraw: 0.5,
    ...fields,
  };
}

function jobs(count: number, fields: Partial<DueWork> = {}) {
  return Array.from({ length: count }, (_, i) => job(`j${i}`, fields));
}

describe("the jobs that are put off", () => {
  it("are none while all can be on time", () => {
    assert.equal(jobsToPutOff(jobs(10), cpuMillis, 0).size, 0);
  });

  describe("in a surge to three times the capacity", () => {
    it("are as many as can't be on time, and no more", () => {
      assert.equal(jobsToPutOff(jobs(30), cpuMillis, 0).size, 20);
    });

    it("don't include the later ones that still fit", () => {
      const later = job("later", { finishBy: 10_000 });
      const deferred = jobsToPutOff([...jobs(30), later], cpuMillis, 0);
      assert.ok(!deferred.has("later"));
    });

    it("don't include those that need little more", () => {
      const almostDone = job("begun", { running: 200_000, waiting: 100_000 });
      const deferred = jobsToPutOff([...jobs(30), almostDone], cpuMillis, 0);
      assert.ok(!deferred.has("begun"));
    });

    it("are of the lowest priority first", () => {
      const urgent = jobs(10, { priority: 0 });
      const others = Array.from(
        { length: 10 },
        (_, i) => job(`p${i}`, { priority: 1, randomDraw: 1 }),
      );
      const deferred = jobsToPutOff([...urgent, ...others], cpuMillis, 0);
      assert.deepEqual([...deferred].sort(), others.map((o) => o.key).sort());
    });
  });

  describe("in long overloads with jobs of all sizes", () => {
    it("leave the largest on time at least half as often as all", () => {
      const random = seededRandom(3);
      let large = 0;
      let largeKept = 0;
      let all = 0;
      let allKept = 0;
      for (let round = 0; round < 100; round++) {
        const work = Array.from({ length: 40 }, (_, i) => {
          // Sizes as at the sites: up to four times the mean.
          const size = Math.min(4, 0.25 - 0.75 * Math.log(1 - random()));
          const waiting = size * 1_000_000;
          return job(`j${i}`, { size, waiting, randomDraw: random() });
        });
        const deferred = jobsToPutOff(work, 2 * cpuMillis, 0);
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

  it("keep work that runs, even where it can't be on time", () => {
    const running = jobs(30, { running: 1_000_000, waiting: 0 });
    assert.equal(jobsToPutOff(running, cpuMillis, 0).size, 0);
  });
});
