/** Stops of lasting tasks that reach their endpoint only after a while. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Play } from "../../sim/actions.ts";
import type { World } from "../../sim/world.ts";
import { busyHosts, endWorld, settledWorld } from "./settled_world.ts";

/** Time in which the tasks get to work, in ms. */
const startMs = 5_000;

/** Time from the crash of one endpoint to the wave, in ms. */
const wavesAfterMs = 100;

/** Time for which the endpoint that the wave empties is cut off, in ms. */
const cutMs = 4_300;

describe("a wave that empties the endpoint of a lasting task", () => {
  let world: World;
  /** Hosts with a task each, in the order in which the wave takes them. */
  let busy: readonly number[];

  beforeEach(async () => {
    world = await settledWorld();
    await new Play(world).act({ kind: "submit", job: "lasting", pool: 0 });
    await world.pass(startMs);
    busy = busyHosts(world);
    assert.equal(busy.length, 3);
  });

  afterEach(() => endWorld(world));

  /** Another endpoint crashes, then the wave's is cut off for a while. */
  async function crashThenCut(): Promise<void> {
    const [leaving, crashing] = busy;
    world.crashHost(crashing, 30_000);
    await world.pass(wavesAfterMs);
    world.cutHost(leaving, cutMs);
    const host = world.hosts[leaving].host;
    const wave = { id: "1", hosts: [host], durationMs: 30_000, maxParallel: 1 };
    world.waves.push(wave);
    await world.pass(12_000);
  }

  // Guards against AVAIL: a stop that was allowed while the budget had room is
  // sent again for seconds, and ends its task when another has long been away.
  it("does not stop it on a permission that has run out", async () => {
    await crashThenCut();
    assert.deepEqual(world.oracle.violations, []);
  });

  it("takes the host down once the others are back at work", async () => {
    await crashThenCut();
    await world.pass(10_000);
    assert.equal(world.waveStates.get("1"), "completed");
    assert.deepEqual(world.oracle.violations, []);
  });
});
