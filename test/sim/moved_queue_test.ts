/** Jobs of a queue that is sent to another pool while they run. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { makeJob } from "../../sim/jobs.ts";
import { encodeForward, inboxKey } from "../../src/batch/index.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

describe("a queue that is sent to another pool", () => {
  let sim: BatchSimulation;

  beforeEach(async () => {
    sim = await settledSimulation();
  });

  afterEach(() => endSimulation(sim));

  // Guards against TWICE and LOST: jobs were looked up in the present pool only.
  it("completes its jobs once, while they are submitted again", async () => {
    const jobs = [1, 2, 3, 4].map((number) =>
      makeJob(number, "wide", "quotes", sim.clock.wall())
    );
    const submitAll = () =>
      jobs.forEach((job, i) => sim.submit(job, `entry-${i % 3}`));
    submitAll();
    await sim.advance(700);
    sim.sendQueue("quotes-queue", "invoices", ["entry-2"]);
    submitAll();
    await sim.advance(3_000);
    sim.killEntry("entry-1");
    sim.startEntry("entry-1");
    submitAll();
    await sim.advance(3_000);
    sim.sendQueue("quotes-queue", "quotes");
    submitAll();
    await sim.advance(12_000);
    assert.deepEqual(await sim.finish(), []);
  });

  // Guards against rows that are kept for ever.
  it("leaves forwards until the jobs that they lead to are gone", async () => {
    const [there, gone] = [1, 2].map((n) => makeJob(n, "lasting", "quotes", 0));
    sim.jobSpecs.set(there.id, there);
    for (const { id } of [there, gone]) {
      sim.store.write(inboxKey("quotes", id), encodeForward("invoices"));
    }
    sim.store.write(inboxKey("invoices", there.id), JSON.stringify(there));
    await sim.advance(170_000);
    const keys = sim.store.table("inbox-quotes").map(({ key }) => key);
    assert.deepEqual(keys, [there.id]);
  });
});
