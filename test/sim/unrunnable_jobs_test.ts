/** Jobs whose tasks are too large for the hosts, beside jobs that can run. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { makeJob, plainStep } from "../../sim/jobs.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

const bytesPerMb = 1_048_576;

describe("a job whose tasks are too large", () => {
  let sim: BatchSimulation;

  beforeEach(async () => {
    sim = await settledSimulation();
  });

  afterEach(() => endSimulation(sim));

  /** Submits a job of 32 tasks of this memory; returns its id. */
  async function submit(memoryMb: number): Promise<string> {
    const demand = { cpuMillis: 900, memoryMb, gpus: 0 };
    const steps = [{ ...plainStep(32, []), demand }];
    const spec = { ...makeJob(1, "single", "quotes", 0), steps };
    const submitted = sim.submit(spec, "entry-0");
    await sim.advance(500);
    await submitted;
    return spec.id;
  }

  /** Phase of a job as its progress row tells it; undefined without a row. */
  function storedPhase(id: string): string | undefined {
    const row = sim.store.table("progress").find(({ key }) => key === id);
    return row && JSON.parse(row.value).phase;
  }

  /** Log lines of an event. */
  function logged(event: string): readonly string[] {
    return sim.log.filter((line) => line.includes(` ${event} `));
  }

  // Guards against a job that waits for ever, and asks for hosts meanwhile.
  it("for any host fails at once, with its size in the log", async () => {
    const id = await submit(65_536 * bytesPerMb);
    await sim.advance(1_000);
    assert.equal(storedPhase(id), "failed");
    const [line] = logged("job-unrunnable");
    assert.ok(line.includes(`"memoryMb":${65_536 * bytesPerMb}`), line);
  });

  // Guards against a job that is shown as failed though it can still run.
  it("for all known hosts waits, and takes no host from others", async () => {
    const id = await submit(65_536);
    await sim.advance(6_000);
    assert.notEqual(storedPhase(id), "failed");
    assert.equal(logged("job-no-host").length, 1);
    const wanted = logged("pool-demand")
      .filter((line) => line.includes('"quotes"'))
      .map((line) => Number(/"want":(\d+)/.exec(line)?.[1]));
    assert.ok(Math.max(...wanted) <= 2, wanted.join(" "));
  });
});
