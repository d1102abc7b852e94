/** A shard's owner learns how long tasks take from those that have ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobOf } from "../../sim/jobs.ts";
import { World } from "../../sim/world.ts";

/** Tasks run this many times as long as callers estimate, on average. */
const workFactor = 3;

describe("an owner whose callers estimate far too little", () => {
  it("expects the run times that it has seen", async () => {
    const options = { seed: 5, entries: 1, hostsPerPool: 4, workFactor };
    const world = new World(options);
    await world.pass(3_000);
    for (let i = 1; i <= 10; i++) {
      world.submit(jobOf(i, "wide", "quotes", world.clock.wall()), "entry-0");
      await world.pass(1_500);
    }
    const placed = world.log.filter((line) => line.includes(" task-placed "));
    const last = JSON.parse(placed.at(-1)?.replace(/^[^{]*/, "") ?? "{}");
    const trueMs = 600 * workFactor;
    const off = Math.abs(Math.log(last.expectedMs / trueMs));
    assert.ok(off < Math.log(1.3), `expected ${last.expectedMs} ms`);
    world.killEntry("entry-0");
  });
});
