/** The order of waiting tasks under a surge. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { jobOf } from "../../sim/jobs.ts";
import { compareRanks, rankOf } from "../../src/scheduler/index.ts";

const job = jobOf(1, "chain", "quotes", 0);

function rankAt(now: number, isDone = (_: number) => false, spec = job) {
  return rankOf(spec, 0, { now, expectedMs: () => 500, isDone });
}

describe("the order of waiting tasks", () => {
  describe("in a surge above capacity", () => {
    // Objective: 600 ms + 2 x 1,500 ms = 3,600 ms; 1,500 ms of work are left.
    it("puts jobs that can no longer be on time behind those that can", () => {
      assert.equal(rankAt(2_000).tier, 1);
      assert.equal(rankAt(2_200).tier, 2);
      assert.ok(compareRanks(rankAt(2_000), rankAt(2_200)) < 0);
    });

    it("goes by the work that is left, not by the whole", () => {
      assert.equal(rankAt(2_200, (step) => step === 0).tier, 1);
    });

    it("puts jobs without any benefit last", () => {
      assert.equal(rankAt(20_000).tier, 3);
    });

    it("lets the job that must start soonest go first", () => {
      const later = { ...job, acceptedAt: 500 };
      const order = compareRanks(
        rankAt(1_000),
        rankAt(1_000, undefined, later),
      );
      assert.ok(order < 0);
    });
  });

  describe("with queues of different priority", () => {
    it("goes by the priority before the deadline", () => {
      const urgent = rankAt(20_000);
      const patient = rankAt(0, undefined, { ...job, priority: 1 });
      assert.ok(compareRanks(urgent, patient) < 0);
    });
  });

  describe("with long-running tasks", () => {
    it("puts them before the others of their priority", () => {
      const lasting = jobOf(2, "lasting", "quotes", 0);
      const rank = rankAt(60_000, undefined, lasting);
      assert.ok(compareRanks(rank, rankAt(0)) < 0);
    });
  });
});
