/** How fast a wave may take one host of a protected step after another. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Play } from "../../sim/actions.ts";
import type { World } from "../../sim/world.ts";
import { busyHosts, endWorld, settledWorld } from "./settled_world.ts";

/**
 * Longest time from the placing of a moved task to the stop of the next, in
 * ms: its startup of 400, two short holds, two care passes.
 */
const nextStopMs = 1_000;

function timesOf(world: World, words: readonly string[]): readonly number[] {
  return world.log
    .filter((line) => words.every((word) => line.includes(word)))
    .map((line) => Math.round(Number(line.split(" ")[0]) * 1_000));
}

describe("a wave over the hosts of a step that may miss one task", () => {
  // Guards against waves that end late: each move waited for a whole hold to
  // tell that the task before it was at work again.
  it("moves the next task as soon as the one before is at work", async () => {
    const world = await settledWorld();
    await new Play(world).act({ kind: "submit", job: "lasting", pool: 0 });
    await world.pass(5_000);
    const hosts = busyHosts(world).map((i) => world.hosts[i].host);
    world.waves.push({ id: "1", hosts, durationMs: 5_000, maxParallel: 3 });
    await world.pass(15_000);
    const stops = timesOf(world, ["task-stopped", "endpoint leaves"]);
    const placed = timesOf(world, ["task-placed", '"run":2']);
    assert.equal(stops.length, 3);
    for (const [i, stop] of stops.slice(1).entries()) {
      assert.ok(stop - placed[i] <= nextStopMs, `${stop - placed[i]} ms`);
    }
    assert.deepEqual(world.oracle.violations, []);
    endWorld(world);
  });
});
