/** Jobs submitted right after the store has dropped its change history. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

/** Longest time from a job's submission until the owner takes it, in ms. */
const maxTakeDelayMs = 150;

/** Times at which owners took jobs, in ms. */
function jobTakenTimes(sim: BatchSimulation): readonly number[] {
  return sim.log
    .filter((line) => line.split(" ")[2] === "job-taken")
    .map((line) => Math.round(Number(line.split(" ")[0]) * 1_000));
}

describe("a store that drops its change history", () => {
  it("delays new jobs by no more than one read of the inbox", async () => {
    const sim = await settledSimulation();
    const runner = new ActionRunner(sim);
    await runner.perform({ kind: "submit", job: "chain", pool: 0 });
    await sim.advance(1_000);
    await runner.perform({ kind: "compact" });
    const submittedAt = sim.clock.now();
    await runner.perform({ kind: "submit", job: "chain", pool: 0 });
    await sim.advance(1_000);
    const [, secondTakenAt] = jobTakenTimes(sim);
    assert.ok(secondTakenAt !== undefined, "the second job was not taken");
    assert.ok(
      secondTakenAt - submittedAt <= maxTakeDelayMs,
      `${secondTakenAt - submittedAt}`,
    );
    assert.deepEqual(sim.oracle.violations, []);
    endSimulation(sim);
  });
});
