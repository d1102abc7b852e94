/** Counts of waiting jobs while shards change their owner. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { makeJob } from "../../sim/jobs.ts";
import { queueForPool } from "../../sim/pools.ts";
import { waitingCountsKey } from "../../src/batch/index.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

const pool = "quotes";
const queue = queueForPool(pool);

/** Age from which a waiting job has to be counted, in ms. */
const visibleMs = 5_000;

/** Value of an owner row after a release. */
const ownerless = JSON.stringify({ boot: "", entry: "", term: 9, commits: 0 });

describe("the count of waiting jobs", () => {
  let sim: BatchSimulation;
  let jobs = 0;

  beforeEach(async () => {
    sim = await settledSimulation({ entries: 3, hostsPerPool: 1 });
    jobs = 0;
  });

  afterEach(() => endSimulation(sim));

  async function submit(count: number, entry: string): Promise<void> {
    for (let i = 0; i < count; i++) {
      sim.submit(makeJob(++jobs, "single", pool, sim.clock.wall()), entry);
    }
    await sim.advance(200);
  }

  async function countAt(entry: string): Promise<number> {
    const service = sim.entries.get(entry)?.service;
    const counted = service?.intake.countWaiting(
      queue,
      sim.clock.now() + 3_000,
    );
    await sim.advance(1_000);
    return (await counted)?.unwrap() ?? NaN;
  }

  /** The entry that owns the pool's shard, and another one. */
  function ownerAndOther(): readonly [string, string] {
    const row = sim.store.table("owner").find((r) => r.partition === pool);
    const owner: string = JSON.parse(row?.value ?? "{}").entry;
    const others = [...sim.entries.keys()].filter((name) => name !== owner);
    return [owner, others[0]];
  }

  // Guards against MIXED: the last count of an owner that has ended was given
  // for as long as there was no other, whatever came meanwhile.
  it("includes jobs that come while the shard has no owner", async () => {
    const [, last] = ownerAndOther();
    for (const name of sim.entries.keys()) {
      if (name !== last) sim.killEntry(name);
    }
    const service = sim.entries.get(last)?.service;
    assert.ok(service);
    const [row] = sim.store.table("owner").filter((r) => r.partition === pool);
    sim.store.write(row, ownerless);
    await submit(10, last);
    const counted = service.intake.countWaiting(queue, sim.clock.now() + 3_000);
    await sim.advance(50);
    assert.equal((await counted).unwrap(), 10);
  });

  it("is that of the owner while there is one", async () => {
    const [owner, other] = ownerAndOther();
    await sim.advance(visibleMs);
    assert.equal(await countAt(other), 0);
    const row = { ...waitingCountsKey(pool) };
    const term = JSON.parse(
      sim.store.table("owner").find((r) => r.partition === pool)?.value ?? "{}",
    ).term;
    sim.store.write(row, JSON.stringify({ term, queues: { [queue.name]: 7 } }));
    assert.equal(await countAt(other), 7);
    assert.equal(await countAt(owner), 7);
  });

  it("is not that of an earlier term", async () => {
    const [, other] = ownerAndOther();
    const queues = { [queue.name]: 7 };
    sim.store.write(
      waitingCountsKey(pool),
      JSON.stringify({ term: 0, queues }),
    );
    assert.equal(await countAt(other), 0);
  });
});
