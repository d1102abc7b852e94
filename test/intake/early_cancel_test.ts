/** Cancellations of jobs whose submission is stored later. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { makeJob } from "../../sim/jobs.ts";
import { cancelKey, inboxKey, type JobSpec } from "../../src/batch/index.ts";
import { endSimulation, settledSimulation } from "../sim/settled_simulation.ts";

const pool = "quotes";

describe("a cancellation of an unknown job", () => {
  let sim: BatchSimulation;
  let spec: JobSpec;

  beforeEach(async () => {
    sim = await settledSimulation();
    spec = makeJob(1, "lasting", pool, sim.clock.wall());
    sim.jobSpecs.set(spec.id, spec);
  });

  afterEach(() => endSimulation(sim));

  async function cancel(): Promise<void> {
    const answer = sim.cancel(spec.id, "entry-1");
    await sim.advance(200);
    await answer;
  }

  /** Performs the write of a submission that got no answer. */
  function storeLate(): void {
    sim.store.write(inboxKey(pool, spec.id), JSON.stringify(spec));
  }

  function hasRow({ key }: { readonly key: string }): boolean {
    return sim.store.table(`inbox-${pool}`).some((row) => row.key === key);
  }

  // Guards against UNASKED: the cancel was acknowledged with "no such job" and
  // left nothing behind, so that a submission that the store performed late ran.
  it("binds a submission that the store performs late", async () => {
    await cancel();
    await sim.advance(6_000);
    storeLate();
    await sim.advance(4_000);
    assert.equal(sim.oracle.counts.starts, 0);
    const progress = sim.store.table("progress");
    const row = progress.find(({ key }) => key === spec.id);
    assert.equal(JSON.parse(row?.value ?? "{}").phase, "cancelled");
  });

  it("binds it after the shard has changed its owner", async () => {
    await cancel();
    for (const name of [...sim.entries.keys()]) sim.killEntry(name);
    for (const name of [...sim.entries.keys()]) sim.startEntry(name);
    await sim.advance(6_000);
    storeLate();
    await sim.advance(4_000);
    assert.equal(sim.oracle.counts.starts, 0);
  });

  it("binds a submission to the queue's next pool", async () => {
    await cancel();
    sim.sendQueue(spec.queue, "invoices");
    sim.submit(spec, "entry-0");
    await sim.advance(4_000);
    assert.equal(sim.oracle.counts.starts, 0);
  });

  it("is removed later, and binds no submission after that", async () => {
    await cancel();
    assert.ok(hasRow(cancelKey(pool, spec.id)));
    await sim.advance(70_000);
    assert.ok(!hasRow(cancelKey(pool, spec.id)));
    storeLate();
    await sim.advance(4_000);
    assert.ok(sim.oracle.counts.starts > 0);
  });

  it("stays beside a job that has been stored since", async () => {
    await cancel();
    storeLate();
    await sim.advance(70_000);
    assert.ok(hasRow(cancelKey(pool, spec.id)));
    assert.equal(sim.oracle.counts.starts, 0);
  });
});
