/** New jobs right after the store has dropped its history. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Play } from "../../sim/actions.ts";
import type { World } from "../../sim/world.ts";
import { endWorld, settledWorld } from "./settled_world.ts";

/** Most of the time from a job's submission until its owner takes it, in ms. */
const takenWithinMs = 150;

/** Times at which jobs were taken, in ms. */
function takenAt(world: World): readonly number[] {
  return world.log
    .filter((line) => line.split(" ")[2] === "job-taken")
    .map((line) => Math.round(Number(line.split(" ")[0]) * 1_000));
}

describe("a store that drops its history", () => {
  it("delays new jobs by no more than a read of the inbox", async () => {
    const world = await settledWorld();
    const play = new Play(world);
    await play.act({ kind: "submit", job: "chain", pool: 0 });
    await world.pass(1_000);
    await play.act({ kind: "compact" });
    const submittedAt = world.clock.now();
    await play.act({ kind: "submit", job: "chain", pool: 0 });
    await world.pass(1_000);
    const [, second] = takenAt(world);
    assert.ok(second !== undefined, "the second job was taken");
    assert.ok(second - submittedAt <= takenWithinMs, `${second - submittedAt}`);
    assert.deepEqual(world.oracle.violations, []);
    endWorld(world);
  });
});
