/** Budgets of lasting steps across a change of owner. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Play } from "../../sim/actions.ts";
import type { World } from "../../sim/world.ts";
import { busyHosts, endWorld, settledWorld } from "./settled_world.ts";

/** Longest time until the wave has the first task stopped, in ms. */
const firstStopMs = 3_000;

describe("an owner that hands its shard over", () => {
  let world: World;

  /** The owner of the first stop of a wave, right after it. */
  async function ownerOfFirstStop(): Promise<string> {
    for (let passed = 0; passed < firstStopMs; passed += 10) {
      await world.pass(10);
      const line = world.log.find((each) => each.includes("endpoint leaves"));
      if (line !== undefined) return line.split(" ")[1];
    }
    throw new Error("nothing was stopped");
  }

  beforeEach(async () => {
    world = await settledWorld();
    await new Play(world).act({ kind: "submit", job: "lasting", pool: 0 });
    await world.pass(2_000);
    // Entries that start later know the endpoints in another order.
    for (const entry of ["entry-0", "entry-2"]) {
      world.killEntry(entry);
      world.startEntry(entry);
    }
    await world.pass(5_000);
    const hosts = busyHosts(world).map((i) => world.hosts[i].host);
    world.waves.push({ id: "1", hosts, durationMs: 5_000, maxParallel: 3 });
  });

  afterEach(() => endWorld(world));

  // Guards against AVAIL: the endpoint lists a task as at work until its stop
  // is over, so the next owner took the budget for unspent.
  it("leaves the next one to know of a stop that is under way", async () => {
    const play = new Play(world);
    // Ends of short tasks answer the next owner's long polls at once.
    for (let i = 0; i < 6; i++) {
      await play.act({ kind: "submit", job: "wide", pool: 0 });
    }
    const owner = await ownerOfFirstStop();
    const index = [...world.entries.keys()].indexOf(owner);
    await play.act({ kind: "retire", entry: index });
    await world.pass(8_000);
    assert.deepEqual(world.oracle.violations, []);
  });
});
