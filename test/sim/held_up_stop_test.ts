/** Stops of lasting tasks that reach their endpoint only after a while. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { World } from "../../sim/world.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_world.ts";

/** Time in which the tasks get to work, in ms. */
const startupWaitMs = 5_000;

/** Time from the crash of one endpoint to the wave, in ms. */
const crashToWaveMs = 100;

/** Time for which the endpoint that the wave empties is cut off, in ms. */
const isolationMs = 4_300;

describe("a wave that empties the endpoint of a lasting task", () => {
  let sim: World;
  /** Hosts with a task each, in the order in which the wave takes them. */
  let busyHostIndexes: readonly number[];

  beforeEach(async () => {
    sim = await settledSimulation();
    await new ActionRunner(sim).perform({
      kind: "submit",
      job: "lasting",
      pool: 0,
    });
    await sim.pass(startupWaitMs);
    busyHostIndexes = busyHosts(sim);
    assert.equal(busyHostIndexes.length, 3);
  });

  afterEach(() => endSimulation(sim));

  /** Another endpoint crashes, then the wave's is cut off for a while. */
  async function crashThenIsolate(): Promise<void> {
    const [leaving, crashing] = busyHostIndexes;
    sim.crashHost(crashing, 30_000);
    await sim.pass(crashToWaveMs);
    sim.isolateHost(leaving, isolationMs);
    const host = sim.hosts[leaving].host;
    const wave = { id: "1", hosts: [host], durationMs: 30_000, maxParallel: 1 };
    sim.waves.push(wave);
    await sim.pass(12_000);
  }

  // Guards against AVAIL: a stop that was allowed while the budget had room is
  // sent again for seconds, and ends its task when another has long been away.
  it("does not stop it on a permission that has run out", async () => {
    await crashThenIsolate();
    assert.deepEqual(sim.oracle.violations, []);
  });

  it("takes the host down once the others are back at work", async () => {
    await crashThenIsolate();
    await sim.pass(10_000);
    assert.equal(sim.waveStates.get("1"), "completed");
    assert.deepEqual(sim.oracle.violations, []);
  });
});
