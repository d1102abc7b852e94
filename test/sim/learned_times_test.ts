/** A shard's owner learns how long tasks take from those that have ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobOf } from "../../sim/jobs.ts";
import { World } from "../../sim/world.ts";

/** Tasks run this many times as long as callers estimate, on average. */
const workFactor = 3;

const actualMs = 600 * workFactor;

/** The last placement that was logged. */
function lastPlacementLine(sim: World): string {
  return sim.log.filter((line) => line.includes(" task-placed ")).at(
    -1,
  ) ??
    "";
}

function lastExpectedMs(sim: World): number {
  return JSON.parse(lastPlacementLine(sim).replace(/^[^{]*/, ""))
    .expectedMs;
}

/** The entry that placed the last task. */
function lastPlacingEntry(sim: World): string {
  return lastPlacementLine(sim).split(" ")[1];
}

describe("an owner whose callers estimate far too little", () => {
  it("expects the run times that it has seen", async () => {
    const options = { seed: 5, entries: 1, hostsPerPool: 4, workFactor };
    const sim = new World(options);
    await sim.pass(3_000);
    for (let i = 1; i <= 10; i++) {
      sim.submit(
        jobOf(i, "wide", "quotes", sim.clock.wall()),
        "entry-0",
      );
      await sim.pass(1_500);
    }
    const off = Math.abs(Math.log(lastExpectedMs(sim) / actualMs));
    assert.ok(off < Math.log(1.3), `expected ${lastExpectedMs(sim)} ms`);
    sim.killEntry("entry-0");
  });

  it("leaves what it has learned to the next owner", async () => {
    const sim = new World({
      seed: 6,
      entries: 2,
      hostsPerPool: 4,
      workFactor,
    });
    await sim.pass(3_000);
    const submit = (n: number, entry: string) =>
      sim.submit(
        jobOf(n, "wide", "quotes", sim.clock.wall()),
        entry,
      );
    for (let i = 1; i <= 10; i++) {
      submit(i, "entry-0");
      await sim.pass(1_500);
    }
    await sim.pass(8_000);
    const owner = lastPlacingEntry(sim);
    const other = owner === "entry-0" ? "entry-1" : "entry-0";
    sim.killEntry(owner);
    await sim.pass(4_000);
    submit(11, other);
    await sim.pass(2_000);
    assert.equal(lastPlacingEntry(sim), other);
    const off = Math.abs(Math.log(lastExpectedMs(sim) / actualMs));
    assert.ok(off < Math.log(1.3), `expected ${lastExpectedMs(sim)} ms`);
    sim.killEntry(other);
  });
});
