/** Runs that seem to stand still, because nothing can be heard of them. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { World } from "../../sim/world.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_world.ts";

/** Time without progress after which a run counts as stalled, and more. */
const outageMs = 3_500;

/** Factor of the tasks' run times, so that they outlast that. */
const longWorkFactor = 12;

describe("runs that nothing is heard of for a while", () => {
  let sim: World;
  let runner: ActionRunner;

  /** Lines about stops of runs that seemed to stand still. */
  function stallStops(): readonly string[] {
    return sim.log.filter((line) => line.includes('"no progress"'));
  }

  beforeEach(async () => {
    sim = await settledSimulation({ workFactor: longWorkFactor });
    runner = new ActionRunner(sim);
  });

  afterEach(() => endSimulation(sim));

  // Guards against SHORT: after the store was away, tasks were stopped as soon
  // as they began, and their endpoints left alone, as the wait counted as work.
  it("go on when their start has waited for the store", async () => {
    await runner.perform({ kind: "submit", job: "wide", pool: 0 });
    await sim.pass(10);
    const outage = {
      kind: "store",
      entry: "all",
      behavior: "refuses",
    } as const;
    await runner.perform({ ...outage, ms: outageMs });
    await sim.pass(outageMs + 3_000);
    assert.ok(sim.oracle.counts.starts > 0);
    assert.deepEqual(stallStops(), []);
  });

  // Guards against work given up because its endpoint was only silent: stops
  // waited for the cut to heal, and then ended what ran on behind it.
  it("go on when their endpoint was cut off for a while", async () => {
    await runner.perform({ kind: "submit", job: "wide", pool: 0 });
    await sim.pass(500);
    const [busy] = busyHosts(sim);
    sim.isolateHost(busy, outageMs);
    await sim.pass(outageMs + 3_000);
    assert.deepEqual(stallStops(), []);
  });
});

describe("work that ends behind a cut", () => {
  // Guards against a finding that is none: the lease has lapsed between the
  // end and the note of it, so the end does not count.
  it("may be done again once the lease is over", async () => {
    const sim = await settledSimulation();
    await new ActionRunner(sim).perform({
      kind: "submit",
      job: "wide",
      pool: 0,
    });
    await sim.pass(60);
    const [busy] = busyHosts(sim);
    sim.isolateHost(busy, 6_500);
    await sim.pass(12_000);
    assert.deepEqual(await sim.finish(), []);
    assert.ok(sim.log.some((line) => line.includes("lost: lease over")));
    endSimulation(sim);
  });
});
