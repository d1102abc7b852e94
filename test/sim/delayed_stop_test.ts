/** Stop orders for long-running tasks that reach their endpoint late. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Time in which the tasks start and become available, in ms. */
const startupWaitMs = 5_000;

/** Time from the crash of one endpoint to the wave, in ms. */
const crashToWaveMs = 100;

/** Time for which the endpoint on the wave's host is disconnected, in ms. */
const isolationMs = 4_300;

describe("a wave over the host of a long-running task", () => {
  let sim: BatchSimulation;
  /** Indexes of the hosts that run a task; the wave takes the first one. */
  let busyHostIndexes: readonly number[];

  beforeEach(async () => {
    sim = await settledSimulation();
    await new ActionRunner(sim).perform({
      kind: "submit",
      job: "lasting",
      pool: 0,
    });
    await sim.advance(startupWaitMs);
    busyHostIndexes = busyHosts(sim);
    assert.equal(busyHostIndexes.length, 3);
  });

  afterEach(() => endSimulation(sim));

  /**
   * Crashes the endpoint of another task, then disconnects the endpoint on the
   * wave's host for a while.
   */
  async function crashThenIsolate(): Promise<void> {
    const [waveHost, otherHost] = busyHostIndexes;
    sim.crashHost(otherHost, 30_000);
    await sim.advance(crashToWaveMs);
    sim.isolateHost(waveHost, isolationMs);
    const host = sim.hosts[waveHost].host;
    const wave = { id: "1", hosts: [host], durationMs: 30_000, maxParallel: 1 };
    sim.waves.push(wave);
    await sim.advance(12_000);
  }

  // Guards against an AVAIL violation: a stop that was allowed while all other
  // tasks were available was sent again for seconds, and ended its task when
  // another one had long been unavailable.
  it("does not stop the task once another one is unavailable", async () => {
    await crashThenIsolate();
    assert.deepEqual(sim.oracle.violations, []);
  });

  it("takes the host down once the others are available again", async () => {
    await crashThenIsolate();
    await sim.advance(10_000);
    assert.equal(sim.waveStates.get("1"), "completed");
    assert.deepEqual(sim.oracle.violations, []);
  });
});
