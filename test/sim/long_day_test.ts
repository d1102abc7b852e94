/** Days that last longer than the rows of a job. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { type JobKind, makeJob } from "../../sim/jobs.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

/** Time after its end in which a job is removed, in ms. */
const removalMs = 170_000;

/** Time in which all jobs of one round end, in ms. */
const roundMs = 10_000;

let jobCount = 0;

/** Submits some jobs and waits for their end; returns their ids. */
async function playRound(sim: BatchSimulation): Promise<readonly string[]> {
  const ids: string[] = [];
  const kinds: readonly JobKind[] = ["wide", "chain", "single", "poison"];
  for (const kind of kinds) {
    const spec = makeJob(++jobCount, kind, "quotes", sim.clock.now());
    sim.submit(spec, "entry-0");
    ids.push(spec.id);
  }
  await sim.advance(roundMs);
  return ids;
}

/** Keys of a table's rows. */
function keysOf(sim: BatchSimulation, table: string): readonly string[] {
  return sim.store.table(table).map((row) => row.key);
}

describe("a day without disturbances that outlasts the rows of its jobs", () => {
  // Guards against LOST: 150 s after the first job had ended its pool stood
  // still for good, as the removal of the job's rows was in one transaction with
  // the owner row, which is in another partition.
  it("goes on to run jobs, and removes the rows of ended ones", async () => {
    const sim = await settledSimulation();
    const first = await playRound(sim);
    await sim.advance(removalMs);
    const second = await playRound(sim);
    const violations = await sim.finish();
    const removed = first.map((id) => `job ${id} is unknown`);
    assert.deepEqual(
      violations.filter((each) => !removed.some((end) => each.endsWith(end))),
      [],
    );
    assert.deepEqual([...keysOf(sim, "progress")].sort(), second);
    assert.deepEqual([...keysOf(sim, "inbox-quotes")].sort(), second);
    endSimulation(sim);
  });

  // Guards against TWICE: the progress of a job whose row in the inbox is left
  // must be left too.
  it("keeps a job's progress while its removal has no answer", async () => {
    const sim = await settledSimulation({ entries: 1 });
    const first = await playRound(sim);
    await sim.advance(removalMs - 30_000);
    sim.store.setBehavior("entry-0", "refuses");
    await sim.advance(30_000);
    assert.deepEqual([...keysOf(sim, "progress")].sort(), first);
    sim.store.setBehavior("entry-0", "serves");
    await sim.advance(30_000);
    assert.deepEqual(keysOf(sim, "inbox-quotes"), []);
    assert.deepEqual(keysOf(sim, "progress"), []);
    assert.deepEqual(sim.oracle.violations, []);
    endSimulation(sim);
  });

  // Guards against rows that stay for ever after a crash between the removals.
  it("removes progress whose row in the inbox is gone", async () => {
    const sim = await settledSimulation({ entries: 1 });
    const [id] = await playRound(sim);
    sim.killEntry("entry-0");
    for (const { table, partition, key } of sim.store.table("inbox-quotes")) {
      sim.store.write({ table, partition, key }, undefined);
    }
    assert.ok(keysOf(sim, "progress").includes(id));
    sim.startEntry("entry-0");
    await sim.advance(20_000);
    assert.deepEqual(keysOf(sim, "progress"), []);
    endSimulation(sim);
  });
});
