/** Long tasks that wait anew after a crash, as late jobs beside idle endpoints. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Hosts of each pool; each has four cores. */
const hostsPerPool = 12;

/** Jobs of one task of 0.9 cores, which fill five of the twelve endpoints. */
const jobCount = 20;

/** Run time of the tasks divided by the caller's estimate. */
const workFactor = 60;

/** Time until their tasks run, in ms. */
const startMs = 3_000;

/** Time for which their hosts are down, in ms: until the end of the day. */
const downMs = 60_000;

/** Time for which the day goes on after the crash, in ms. */
const dayMs = 26_000;

/** Rules that a day breaks on which the busy hosts of a pool crash. */
async function playCrash(seed: number): Promise<readonly string[]> {
  const sim = await settledSimulation({ seed, hostsPerPool, workFactor });
  const runner = new ActionRunner(sim);
  const watch = sim.watchLost();
  sim.isProviderAway = true;
  for (let i = 0; i < jobCount; i++) {
    await runner.perform({ kind: "submit", job: "single", pool: 0 });
  }
  await sim.advance(startMs);
  watch.endTraffic();
  for (const host of busyHosts(sim)) {
    await runner.perform({ kind: "crash", host, downMs });
  }
  await sim.advance(dayMs);
  endSimulation(sim);
  return sim.oracle.violations;
}

describe("a pool whose busy hosts have crashed", () => {
  // Guards against LOST: late jobs waited beside endpoints that their pool offered
  // and withdrew in turns, or kept closed.
  for (const seed of [1, 2, 3]) {
    it(`lets no late job wait beside free capacity, seed ${seed}`, async () => {
      assert.deepEqual(await playCrash(seed), []);
    });
  }
});
