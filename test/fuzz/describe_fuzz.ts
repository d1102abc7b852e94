/**
 * Defines the fuzz test of one seed. Each seed has its own test file, so that
 * the test runner runs the seeds in parallel processes.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { fuzz } from "./simulate.ts";

const sequenceCount = 500;

/** Events that must occur with every seed, so that the test covers them. */
const requiredEvents = [
  "kill",
  "pause",
  "cut",
  "cut-zone",
  "lost answer",
  "platform",
  "move",
  "wave",
  "reboot",
  "stale table sent",
  "isolate-through-move",
  "pause-through-move",
  "drain allowed",
  "drain budget-exceeded",
  "process was paused; sending is blocked",
  "host ejected",
  "job done",
  "job unknown",
  "request ok",
  "request deadline",
  "request peer-lost",
];

/** Defines the test of one seed. */
export function describeFuzz(seed: number): void {
  describe("several entries under faults", () => {
    describe(`seed ${seed}`, () => {
      it(`upholds every guarantee in ${sequenceCount} sequences`, async () => {
        const report = await fuzz(seed, sequenceCount);
        assert.deepEqual(
          report.violations ?? [],
          [],
          JSON.stringify(report.steps),
        );
        const missingEvents = requiredEvents.filter((event) =>
          !report.eventCounts.has(event)
        );
        assert.deepEqual(missingEvents, [], "events that never occurred");
      });
    });
  });
}
