/** The choice of an endpoint for a task. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import {
  type Candidate,
  choosePlace,
  isEligible,
} from "../../src/scheduler/index.ts";

const step = plainStep(4, []);

function candidate(id: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    id,
    labels: ["a", "r1"],
    capacity: { cpuMillis: 4_000, memoryMb: 8_000, gpus: 0 },
    used: { cpuMillis: 0, memoryMb: 0, gpus: 0 },
    sameStepCount: 0,
    failedHere: false,
    failureRatio: 0,
    ...changes,
  };
}

const busy = { cpuMillis: 3_000, memoryMb: 0, gpus: 0 };
const full = { cpuMillis: 3_200, memoryMb: 0, gpus: 0 };

describe("the choice of an endpoint", () => {
  describe("by what is allowed", () => {
    it("never exceeds the capacity", () => {
      assert.equal(isEligible(step, candidate("x", { used: full })), false);
    });

    it("keeps to labels and to the spread of a step", () => {
      const labelled = { ...step, label: "b" };
      const apart = { ...step, maxPerEndpoint: 1 };
      assert.equal(isEligible(labelled, candidate("x")), false);
      const taken = candidate("x", { sameStepCount: 1 });
      assert.equal(isEligible(apart, taken), false);
    });

    it("does not count the processor of a filler", () => {
      const filler = { ...step, filler: true };
      assert.equal(isEligible(filler, candidate("x", { used: full })), true);
    });
  });

  describe("when load falls after a surge", () => {
    it("fills used endpoints first, so that others become empty", () => {
      const chosen = choosePlace(step, [
        candidate("empty"),
        candidate("busy", { used: busy }),
      ]);
      assert.equal(chosen?.id, "busy");
    });
  });

  describe("when an endpoint fails what it starts", () => {
    it("retries a task elsewhere", () => {
      const chosen = choosePlace(step, [
        candidate("failed", { used: busy, failedHere: true }),
        candidate("fresh"),
      ]);
      assert.equal(chosen?.id, "fresh");
    });
  });

  describe("for data in a rack", () => {
    it("prefers the rack", () => {
      const chosen = choosePlace({ ...step, rack: "r2" }, [
        candidate("far", { used: busy }),
        candidate("near", { labels: ["a", "r2"] }),
      ]);
      assert.equal(chosen?.id, "near");
    });
  });
});
