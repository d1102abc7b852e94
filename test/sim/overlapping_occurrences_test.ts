/** Repeated jobs with more open tasks than one row holds. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { makeJob, plainStep } from "../../sim/jobs.ts";
import type { JobSpec } from "../../src/batch/index.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

/** Number of tasks of one occurrence. */
const tasksPerOccurrence = 500;

/** Time between two occurrences, in ms; their tasks take about 5 s. */
const periodMs = 500;

/** Time in which all occurrences overlap, in ms. */
const overlapMs = 3_500;

/** Time in which all work ends, in ms. */
const drainMs = 60_000;

/** A job of six occurrences with many small tasks. */
function repeatedJob(now: number): JobSpec {
  const demand = { cpuMillis: 1, memoryMb: 1, gpus: 0 };
  const steps = [{ ...plainStep(tasksPerOccurrence, []), demand }];
  const schedule = { firstAtMs: now + 500, periodMs, count: 6 };
  return { ...makeJob(1, "single", "quotes", now), steps, schedule };
}

describe("a job with overlapping occurrences of many tasks", () => {
  let sim: BatchSimulation;

  beforeEach(async () => {
    sim = await settledSimulation({ workFactor: 8, entries: 2 });
    sim.submit(repeatedJob(sim.clock.now()), "entry-0");
    await sim.advance(overlapMs);
  });

  afterEach(() => endSimulation(sim));

  /** Submits other jobs and returns the violations after all work has ended. */
  async function violationsWithOtherJobs(): Promise<readonly string[]> {
    for (let i = 2; i < 8; i++) {
      sim.submit(makeJob(i, "wide", "quotes", sim.clock.now()), "entry-1");
    }
    await sim.advance(drainMs);
    return await sim.finish();
  }

  // Guards against LOST: the progress of the job outgrew its row, and the owner
  // repeated the rejected transaction for ever.
  it("and the other jobs of its pool end", async () => {
    assert.deepEqual(await violationsWithOtherJobs(), []);
  });

  it("leaves only the head row of the job", async () => {
    await sim.advance(drainMs);
    const [{ id }] = sim.jobSpecs.values();
    const keys = sim.store.table("progress").map((row) => row.key);
    assert.deepEqual(keys.filter((key) => key.startsWith(id)), [id]);
  });

  // Guards against TWICE: rows of one job that are committed one by one.
  it("runs no task twice when its owner is killed", async () => {
    for (let i = 0; i < 3; i++) {
      const owner = sim.log.findLast((line) =>
        line.includes("shard-taken") && line.includes('"quotes"')
      )?.split(" ")[1];
      sim.killEntry(owner ?? "");
      sim.startEntry(owner ?? "");
      await sim.advance(4_000);
    }
    assert.deepEqual(await violationsWithOtherJobs(), []);
  });
});
