/** How long the tasks of an endpoint wait that falls silent. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Time after which no lease lasts from before the first takeover, in ms. */
const earlierLeasesMs = 20_000;

/** Time from the submission of lasting tasks until all of them serve, in ms. */
const startupMs = 4_000;

/**
 * Longest time from the crash to the next start, in ms: the lease of the last
 * hold and its allowance, 5.2 s, and the time to notice and to commit.
 */
const maxWaitMs = 5_200 + 200;

describe("a lasting task whose endpoint crashes for good", () => {
  // Guards against LOST: the owner noticed only with the next hold that failed, up
  // to 1.25 s after the lease was over.
  for (const offsetMs of [0, 250, 375, 750]) {
    it(`starts elsewhere once its lease is over, ${offsetMs} ms later`, async () => {
      const sim = await settledSimulation({ workFactor: 100 });
      await sim.advance(earlierLeasesMs);
      const submit = { kind: "submit", job: "lasting", pool: 0 } as const;
      await new ActionRunner(sim).perform(submit);
      await sim.advance(startupMs + offsetMs);
      sim.crashHost(busyHosts(sim)[0], 60_000);
      const { starts } = sim.oracle.counts;
      await sim.advance(maxWaitMs);
      assert.equal(sim.oracle.counts.starts, starts + 1);
      assert.deepEqual(sim.oracle.violations, []);
      endSimulation(sim);
    });
  }
});
