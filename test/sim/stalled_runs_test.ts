/** Runs that seem to stand still, because nothing can be heard of them. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Play } from "../../sim/actions.ts";
import type { World } from "../../sim/world.ts";
import { busyHosts, endWorld, settledWorld } from "./settled_world.ts";

/** Time without progress after which a run counts as stalled, and more. */
const longMs = 3_500;

/** Factor of the tasks' run times, so that they outlast that. */
const longWork = 12;

describe("runs that nothing is heard of for a while", () => {
  let world: World;
  let play: Play;

  /** Lines about stops of runs that seemed to stand still. */
  function stalled(): readonly string[] {
    return world.log.filter((line) => line.includes('"no progress"'));
  }

  beforeEach(async () => {
    world = await settledWorld({ workFactor: longWork });
    play = new Play(world);
  });

  afterEach(() => endWorld(world));

  // Guards against SHORT: after the store was away, tasks were stopped as soon
  // as they began, and their endpoints left alone, as the wait counted as work.
  it("go on when their start has waited for the store", async () => {
    await play.act({ kind: "submit", job: "wide", pool: 0 });
    await world.pass(10);
    const away = { kind: "store", entry: "all", mood: "refuses" } as const;
    await play.act({ ...away, ms: longMs });
    await world.pass(longMs + 3_000);
    assert.ok(world.oracle.tally.starts > 0);
    assert.deepEqual(stalled(), []);
  });

  // Guards against work given up because its endpoint was only silent: stops
  // waited for the cut to heal, and then ended what ran on behind it.
  it("go on when their endpoint was cut off for a while", async () => {
    await play.act({ kind: "submit", job: "wide", pool: 0 });
    await world.pass(500);
    const [busy] = busyHosts(world);
    world.cutHost(busy, longMs);
    await world.pass(longMs + 3_000);
    assert.deepEqual(stalled(), []);
  });
});

describe("work that ends behind a cut", () => {
  // Guards against a finding that is none: the lease has lapsed between the
  // end and the note of it, so the end does not count.
  it("may be done again once the lease is over", async () => {
    const world = await settledWorld();
    await new Play(world).act({ kind: "submit", job: "wide", pool: 0 });
    await world.pass(60);
    const [busy] = busyHosts(world);
    world.cutHost(busy, 6_500);
    await world.pass(12_000);
    assert.deepEqual(await world.finish(), []);
    assert.ok(world.log.some((line) => line.includes("lost: lease over")));
    endWorld(world);
  });
});
