/** More entries than the shards need: the others are inactive until needed. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Action } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { runSimulation } from "./run_simulation.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

const entryCount = 20;

/** Number of candidates when all entries are alike and in one zone. */
const candidateCount = 8;

const jobs: readonly Action[] = Array.from({ length: 6 }, (_, i): Action[] => [
  { kind: "submit", job: "chain", pool: i },
  { kind: "wait", ms: 300 },
]).flat();

/** Log lines with an event. */
function logLines(sim: BatchSimulation, event: string): readonly string[] {
  return sim.log.filter((line) => line.split(" ")[2] === event);
}

describe("a fleet with many entries", () => {
  it("completes every job with only the candidates active", async () => {
    const { violations, sim } = await runSimulation(1, jobs, {
      entries: entryCount,
    });
    assert.deepEqual(violations, []);
    assert.ok(sim.oracle.counts.done > 0);
    const idleCount = logLines(sim, "member-idle").length;
    const activeCount = logLines(sim, "member-active").length;
    assert.equal(entryCount - idleCount + activeCount, candidateCount);
  });

  it("uses inactive entries when all candidates are killed", async () => {
    const indexes = Array.from({ length: entryCount }, (_, i) => i);
    const sim = await settledSimulation({ entries: entryCount });
    const inactiveEntries = new Set(
      logLines(sim, "member-idle").map((line) => line.split(" ")[1]),
    );
    for (const entry of indexes.map((i) => `entry-${i}`)) {
      if (!inactiveEntries.has(entry)) sim.killEntry(entry);
    }
    await sim.advance(12_000);
    const taken = logLines(sim, "shard-taken")
      .filter((line) => inactiveEntries.has(line.split(" ")[1]));
    assert.ok(taken.length > 0);
    assert.deepEqual(sim.oracle.violations, []);
    endSimulation(sim);
  });
});
