/** More entries than the shards need: the others stay quiet, until needed. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Action } from "../../sim/actions.ts";
import type { World } from "../../sim/world.ts";
import { runModel } from "./run_model.ts";
import { endWorld, settledWorld } from "./settled_world.ts";

const entries = 20;

/** Candidates where all entries are alike and in one zone. */
const candidates = 8;

const jobs: readonly Action[] = Array.from({ length: 6 }, (_, i): Action[] => [
  { kind: "submit", job: "chain", pool: i },
  { kind: "wait", ms: 300 },
]).flat();

function told(world: World, event: string): readonly string[] {
  return world.log.filter((line) => line.split(" ")[2] === event);
}

describe("a fleet with many entries", () => {
  it("completes every job, with a few entries active", async () => {
    const { violations, world } = await runModel(1, jobs, entries);
    assert.deepEqual(violations, []);
    assert.ok(world.oracle.tally.done > 0);
    const idle = told(world, "member-idle").length;
    const active = told(world, "member-active").length;
    assert.equal(entries - idle + active, candidates);
  });

  it("loses all candidates at once and goes on with the others", async () => {
    const all = Array.from({ length: entries }, (_, i) => i);
    const world = await settledWorld({ entries });
    const idle = new Set(
      told(world, "member-idle").map((line) => line.split(" ")[1]),
    );
    for (const entry of all.map((i) => `entry-${i}`)) {
      if (!idle.has(entry)) world.killEntry(entry);
    }
    await world.pass(12_000);
    const taken = told(world, "shard-taken")
      .filter((line) => idle.has(line.split(" ")[1]));
    assert.ok(taken.length > 0);
    assert.deepEqual(world.oracle.violations, []);
    endWorld(world);
  });
});
