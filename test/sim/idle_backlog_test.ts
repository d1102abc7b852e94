/** Long tasks that wait anew after a crash, as late jobs beside idle endpoints. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import { IdleWatch } from "../../sim/idle_watch.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Hosts of each pool; each has four cores. */
const hostsPerPool = 12;

/** Jobs of one task of 0.9 cores, which fill five of the twelve endpoints. */
const jobCount = 20;

/** Time until their tasks run, in ms. */
const startMs = 3_000;

/** Time for which their hosts are down, in ms: until the end of the day. */
const downMs = 60_000;

/** Time for which the day goes on, in ms. */
const dayMs = 26_000;

/** Interval at which waiting jobs are looked for, in ms. */
const checkMs = 100;

/** What waited beside free capacity on a day with a crash; see {@link IdleWatch}. */
async function playCrash(seed: number): Promise<readonly string[]> {
  const sim = await settledSimulation({ seed, hostsPerPool, workFactor: 60 });
  const runner = new ActionRunner(sim);
  const watch = new IdleWatch(sim);
  sim.isProviderAway = true;
  for (let i = 0; i < jobCount; i++) {
    await runner.perform({ kind: "submit", job: "single", pool: 0 });
  }
  await runner.perform({ kind: "submit", job: "lasting", pool: 0 });
  watch.noteSubmission();
  await sim.advance(startMs);
  for (const host of busyHosts(sim)) {
    await runner.perform({ kind: "crash", host, downMs });
  }
  watch.noteDisturbance();
  for (let passed = 0; passed < dayMs; passed += checkMs) {
    await sim.advance(checkMs);
    watch.check();
  }
  assert.deepEqual(sim.oracle.violations, []);
  endSimulation(sim);
  return [...watch.found.keys()];
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
