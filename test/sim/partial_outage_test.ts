/** Owners of shards while the store refuses the calls to some partitions. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

/** Length of an outage, in ms. */
const outageMs = 6_000;

/** Pause until the next outage, in ms. */
const pauseMs = 3_500;

/** Number of outages in a day. */
const outageCount = 6;

/** Offsets between the heartbeats of two entries, in ms. */
const heartbeatOffsetsMs = [100, 150, 200];

/** Entries whose heartbeats are `offsetMs` apart, and a wave over all hosts. */
async function staggeredWave(offsetMs: number): Promise<BatchSimulation> {
  const sim = await settledSimulation({ hostsPerPool: 20 });
  for (const name of ["entry-1", "entry-2"]) {
    sim.killEntry(name);
    await sim.advance(4_500 + offsetMs);
    sim.startEntry(name);
  }
  await sim.advance(5_000);
  sim.waves.push({
    id: "1",
    hosts: sim.hosts.map(({ host }) => host),
    durationMs: 110_000,
    maxParallel: 3,
  });
  return sim;
}

/** Takeovers of shards in the log from its line `since` on. */
function takeovers(sim: BatchSimulation, since: number): readonly string[] {
  return sim.log.slice(since).filter((line) => line.includes("shard-taken"));
}

/** Makes the partitions of the heartbeats unavailable for one outage. */
async function beginOutage(sim: BatchSimulation): Promise<void> {
  await new ActionRunner(sim).perform({
    kind: "store-table",
    table: "members",
    ms: outageMs,
  });
}

describe("an outage of the partitions that hold the heartbeats", () => {
  for (const offsetMs of heartbeatOffsetsMs) {
    // Guards against owners that succeed one another several times a second:
    // only heartbeats told that an owner was alive, and none arrived.
    it(`leaves the shards with their owners, ${offsetMs} ms apart`, async () => {
      const sim = await staggeredWave(offsetMs);
      const begin = sim.log.length;
      for (let i = 0; i < outageCount; i++) {
        await beginOutage(sim);
        await sim.advance(outageMs + pauseMs);
      }
      assert.deepEqual(takeovers(sim, begin), []);
      assert.deepEqual(sim.oracle.violations, []);
      assert.ok(sim.oracle.counts.hostOrders > 10);
      endSimulation(sim);
    });
  }

  it("does not keep the shards of an owner that ends without one", async () => {
    const sim = await staggeredWave(heartbeatOffsetsMs[0]);
    await beginOutage(sim);
    await sim.advance(outageMs / 2);
    const owner = sim.ownerOf("fleet") ?? "";
    sim.killEntry(owner);
    await sim.advance(outageMs / 2);
    assert.notEqual(sim.ownerOf("fleet"), owner);
    assert.deepEqual(sim.oracle.violations, []);
    endSimulation(sim);
  });
});
