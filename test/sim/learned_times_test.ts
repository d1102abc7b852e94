/** Run times that a shard's owner learns from tasks that have ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeJob } from "../../sim/jobs.ts";
import { BatchSimulation } from "../../sim/batch_simulation.ts";

/** Average run time of tasks divided by the callers' estimate. */
const workFactor = 3;

/** Average run time of tasks, in ms. */
const actualMs = 600 * workFactor;

/** The last log line about a placement; empty if there is none. */
function lastPlacementLine(sim: BatchSimulation): string {
  return sim.log.filter((line) => line.includes(" task-placed ")).at(-1) ??
    "";
}

/** Run time that the owner expected for the last task placed, in ms. */
function lastExpectedMs(sim: BatchSimulation): number {
  return JSON.parse(lastPlacementLine(sim).replace(/^[^{]*/, "")).expectedMs;
}

/** Name of the entry that placed the last task. */
function lastPlacingEntry(sim: BatchSimulation): string {
  return lastPlacementLine(sim).split(" ")[1];
}

describe("an owner whose callers underestimate run times", () => {
  it("expects the run times that it has observed", async () => {
    const options = { seed: 5, entries: 1, hostsPerPool: 4, workFactor };
    const sim = new BatchSimulation(options);
    await sim.advance(3_000);
    for (let i = 1; i <= 10; i++) {
      sim.submit(makeJob(i, "wide", "quotes", sim.clock.wall()), "entry-0");
      await sim.advance(1_500);
    }
    const logError = Math.abs(Math.log(lastExpectedMs(sim) / actualMs));
    assert.ok(logError < Math.log(1.3), `expected ${lastExpectedMs(sim)} ms`);
    sim.killEntry("entry-0");
  });

  it("passes the learned run times on to the next owner", async () => {
    const sim = new BatchSimulation({
      seed: 6,
      entries: 2,
      hostsPerPool: 4,
      workFactor,
    });
    await sim.advance(3_000);
    const submit = (n: number, entry: string) =>
      sim.submit(makeJob(n, "wide", "quotes", sim.clock.wall()), entry);
    for (let i = 1; i <= 10; i++) {
      submit(i, "entry-0");
      await sim.advance(1_500);
    }
    await sim.advance(8_000);
    const owner = lastPlacingEntry(sim);
    const nextOwner = owner === "entry-0" ? "entry-1" : "entry-0";
    sim.killEntry(owner);
    await sim.advance(4_000);
    submit(11, nextOwner);
    await sim.advance(2_000);
    assert.equal(lastPlacingEntry(sim), nextOwner);
    const logError = Math.abs(Math.log(lastExpectedMs(sim) / actualMs));
    assert.ok(logError < Math.log(1.3), `expected ${lastExpectedMs(sim)} ms`);
    sim.killEntry(nextOwner);
  });
});
