/** Runs that seem stalled because their owner receives no report of them. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Length of an outage in ms: a run counts as stalled after less than this. */
const outageMs = 3_500;

/** Factor on the tasks' run times, so that they outlast an outage. */
const longWorkFactor = 12;

describe("runs whose owner receives no report of them", () => {
  let sim: BatchSimulation;
  let runner: ActionRunner;

  /** Log lines about stops of runs that counted as stalled. */
  function stallStops(): readonly string[] {
    return sim.log.filter((line) => line.includes('"no progress"'));
  }

  beforeEach(async () => {
    sim = await settledSimulation({ workFactor: longWorkFactor });
    runner = new ActionRunner(sim);
  });

  afterEach(() => endSimulation(sim));

  // Guards against needless stops: after an outage of the store, a start's wait
  // for it counted as run time, so tasks were stopped as soon as they started
  // and their endpoints were avoided. A class then fell below its floor (SHORT).
  it("continue when their start has waited for the store", async () => {
    await runner.perform({ kind: "submit", job: "wide", pool: 0 });
    await sim.advance(10);
    const outage = {
      kind: "store",
      entry: "all",
      behavior: "refuses",
    } as const;
    await runner.perform({ ...outage, ms: outageMs });
    await sim.advance(outageMs + 3_000);
    assert.ok(sim.oracle.counts.starts > 0);
    assert.deepEqual(stallStops(), []);
  });

  // Guards against lost work: stops were sent to an endpoint that was only
  // disconnected, and ended its healthy runs once the connection was back.
  it("continue when their endpoint was disconnected for a while", async () => {
    await runner.perform({ kind: "submit", job: "wide", pool: 0 });
    await sim.advance(500);
    const [busyHost] = busyHosts(sim);
    sim.isolateHost(busyHost, outageMs);
    await sim.advance(outageMs + 3_000);
    assert.deepEqual(stallStops(), []);
  });
});

describe("runs of which one percent takes longer than a stall", () => {
  // Guards against LOST: long tasks were stopped for a stall again and again, and
  // never ended, and their endpoints were avoided.
  it("end after a few stops", async () => {
    const sim = await settledSimulation({ workFactor: 500 });
    const runner = new ActionRunner(sim);
    for (let i = 0; i < 5; i++) {
      await runner.perform({ kind: "submit", job: "single", pool: 0 });
    }
    await sim.advance(900_000);
    const stops = sim.log.filter((line) => line.includes('"no progress"'));
    assert.ok(stops.length <= 10, `${stops.length} stops`);
    const { length } = sim.log.filter((line) => line.includes('"end":"done"'));
    assert.equal(length, 5);
    endSimulation(sim);
  });
});

/** Time after which no lease lasts from before the takeover, in ms. */
const earlierLeasesMs = 15_000;

describe("a run that ends while its endpoint is disconnected", () => {
  // Guards against a false violation: the lease lapsed after the run ended and
  // before its end was recorded, so that end does not count.
  it("may run again once the lease is over", async () => {
    const sim = await settledSimulation();
    await sim.advance(earlierLeasesMs);
    await new ActionRunner(sim).perform({
      kind: "submit",
      job: "wide",
      pool: 0,
    });
    await sim.advance(60);
    const [busy] = busyHosts(sim);
    sim.isolateHost(busy, 6_500);
    await sim.advance(12_000);
    assert.deepEqual(await sim.finish(), []);
    assert.ok(sim.log.some((line) => line.includes("lost: lease over")));
    endSimulation(sim);
  });
});
