/** `maxUnavailable` of long-running steps across a change of shard owner. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Longest time until the wave stops the first task, in ms. */
const firstStopTimeoutMs = 3_000;

describe("an owner that hands over its shard", () => {
  let sim: BatchSimulation;

  /** Waits for the wave's first stop and returns the owner that sent it. */
  async function ownerOfFirstStop(): Promise<string> {
    for (let elapsedMs = 0; elapsedMs < firstStopTimeoutMs; elapsedMs += 10) {
      await sim.advance(10);
      const line = sim.log.find((logLine) =>
        logLine.includes("endpoint leaves")
      );
      if (line !== undefined) return line.split(" ")[1];
    }
    throw new Error("the wave stopped no task in time");
  }

  beforeEach(async () => {
    sim = await settledSimulation();
    await new ActionRunner(sim).perform({
      kind: "submit",
      job: "lasting",
      pool: 0,
    });
    await sim.advance(2_000);
    // Restarted entries learn of the endpoints in another order.
    for (const entry of ["entry-0", "entry-2"]) {
      sim.killEntry(entry);
      sim.startEntry(entry);
    }
    await sim.advance(5_000);
    const hosts = busyHosts(sim).map((i) => sim.hosts[i].host);
    sim.waves.push({ id: "1", hosts, durationMs: 5_000, maxParallel: 3 });
  });

  afterEach(() => endSimulation(sim));

  // Guards against an AVAIL violation: an endpoint lists a task as available
  // until its stop is over, so the next owner assumed that no task of the step
  // was unavailable and stopped another one.
  it("lets the next owner account for a stop that is under way", async () => {
    const runner = new ActionRunner(sim);
    // The ends of short tasks answer the next owner's long polls at once.
    for (let i = 0; i < 6; i++) {
      await runner.perform({ kind: "submit", job: "wide", pool: 0 });
    }
    const owner = await ownerOfFirstStop();
    const index = [...sim.entries.keys()].indexOf(owner);
    await runner.perform({ kind: "retire", entry: index });
    await sim.advance(8_000);
    assert.deepEqual(sim.oracle.violations, []);
  });
});
