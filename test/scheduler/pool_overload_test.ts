/** How many jobs of an overloaded pool are on time, in a simulated pool. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type PoolLoad, simulatePool } from "./pool_simulation.ts";

const seeds = [1, 2, 3, 4, 5, 6];

/** A pool of 12 endpoints in a surge of eight seconds. */
const pool = { endpoints: 12, taskMs: 640, surgeMs: 8_000 };

/** Returns the mean share of the benefit that jobs on time earn. */
function meanBenefitShare(load: Omit<PoolLoad, "seed">): number {
  const shares = seeds.map((seed) =>
    simulatePool({ ...load, seed }).benefitShare
  );
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

describe("a pool in a surge of short jobs", () => {
  it("serves nearly all on time at its capacity", () => {
    const share = meanBenefitShare({ ...pool, overload: 1 });
    assert.ok(share > 0.95, `${share}`);
  });

  // Guards against a queue in which every task starts just after its latest
  // start, because late tasks, which are not preempted, occupy the cores.
  describe("whose work is a multiple of its capacity", () => {
    it("earns over 0.42 of the benefit at twice its capacity", () => {
      const share = meanBenefitShare({ ...pool, overload: 2 });
      assert.ok(share > 0.42, `${share}`);
    });

    it("earns over 0.29 of the benefit at three times its capacity", () => {
      const share = meanBenefitShare({ ...pool, overload: 3 });
      assert.ok(share > 0.29, `${share}`);
    });
  });
});
