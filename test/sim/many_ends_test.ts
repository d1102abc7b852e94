/** Endpoints with more unrecorded ends than one answer lists. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { makeJob, plainStep } from "../../sim/jobs.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

/** Number of jobs; all their tasks run on one endpoint. */
const jobCount = 12;

/** Number of tasks of each job. */
const tasksPerJob = 60;

/** Time in which all tasks begin, in ms. */
const startMs = 1_500;

/** Length of an outage in which all tasks end, in ms. */
const outageMs = 4_500;

/** Time in which all ends are recorded after the outage, in ms. */
const drainMs = 15_000;

/** Submits jobs with many small tasks. */
async function submitJobs(sim: BatchSimulation): Promise<void> {
  const demand = { cpuMillis: 5, memoryMb: 1, gpus: 0 };
  const steps = [{ ...plainStep(tasksPerJob, []), demand }];
  const now = sim.clock.now();
  for (let i = 0; i < jobCount; i++) {
    const spec = { ...makeJob(i, "single", "quotes", now), steps };
    sim.submit(spec, "entry-0");
  }
  await sim.advance(startMs);
}

describe("an endpoint with over 500 ends that aren't recorded", () => {
  for (const entries of [1, 2]) {
    const how = entries === 1 ? "the store is away" : "its owner changes";
    // Guards against TWICE: the ends beyond the first 500 listed counted as runs
    // that had never started.
    it(`runs no task twice when ${how}`, async () => {
      const sim = await settledSimulation({
        entries,
        hostsPerPool: 1,
        workFactor: 4,
      });
      await submitJobs(sim);
      assert.ok(sim.oracle.counts.starts >= jobCount * tasksPerJob);
      const outage = {
        kind: "store",
        entry: "all",
        behavior: "refuses",
      } as const;
      await new ActionRunner(sim).perform({ ...outage, ms: outageMs });
      if (entries > 1) {
        const owner = sim.log.findLast((line) =>
          line.includes("shard-taken") && line.includes('"quotes"')
        )?.split(" ")[1];
        await sim.advance(outageMs);
        sim.killEntry(owner ?? "");
      }
      await sim.advance(outageMs + drainMs);
      sim.endDisturbances();
      await sim.advance(drainMs);
      assert.deepEqual(await sim.finish(), []);
      endSimulation(sim);
    });
  }
});
