/** A shard's owner learns how long tasks take from those that have ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobOf } from "../../sim/jobs.ts";
import { World } from "../../sim/world.ts";

/** Tasks run this many times as long as callers estimate, on average. */
const workFactor = 3;

const trueMs = 600 * workFactor;

/** The last placement that was logged. */
function lastPlaced(world: World): string {
  return world.log.filter((line) => line.includes(" task-placed ")).at(-1) ??
    "";
}

function lastExpectedMs(world: World): number {
  return JSON.parse(lastPlaced(world).replace(/^[^{]*/, "")).expectedMs;
}

/** The entry that placed the last task. */
function ownerOf(world: World): string {
  return lastPlaced(world).split(" ")[1];
}

describe("an owner whose callers estimate far too little", () => {
  it("expects the run times that it has seen", async () => {
    const options = { seed: 5, entries: 1, hostsPerPool: 4, workFactor };
    const world = new World(options);
    await world.pass(3_000);
    for (let i = 1; i <= 10; i++) {
      world.submit(jobOf(i, "wide", "quotes", world.clock.wall()), "entry-0");
      await world.pass(1_500);
    }
    const off = Math.abs(Math.log(lastExpectedMs(world) / trueMs));
    assert.ok(off < Math.log(1.3), `expected ${lastExpectedMs(world)} ms`);
    world.killEntry("entry-0");
  });

  it("leaves what it has learned to the next owner", async () => {
    const world = new World({
      seed: 6,
      entries: 2,
      hostsPerPool: 4,
      workFactor,
    });
    await world.pass(3_000);
    const submit = (n: number, entry: string) =>
      world.submit(jobOf(n, "wide", "quotes", world.clock.wall()), entry);
    for (let i = 1; i <= 10; i++) {
      submit(i, "entry-0");
      await world.pass(1_500);
    }
    await world.pass(8_000);
    const owner = ownerOf(world);
    const other = owner === "entry-0" ? "entry-1" : "entry-0";
    world.killEntry(owner);
    await world.pass(4_000);
    submit(11, other);
    await world.pass(2_000);
    assert.equal(ownerOf(world), other);
    const off = Math.abs(Math.log(lastExpectedMs(world) / trueMs));
    assert.ok(off < Math.log(1.3), `expected ${lastExpectedMs(world)} ms`);
    world.killEntry(other);
  });
});
