/** Which outcomes the simulation's oracle reports as violations. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { BatchOracle } from "../../sim/oracle.ts";

const job = {
  id: "a",
  payload: "",
  maxAttempts: 1,
  occurrences: 1,
  steps: [{ count: 1, after: [], longRunning: false }],
};

describe("the simulation's oracle", () => {
  let oracle: BatchOracle;

  beforeEach(() => {
    oracle = new BatchOracle(() => 0, () => false);
    oracle.jobSubmitted(job);
    oracle.submissionAnswered("a", "accepted");
  });

  describe("for a job that is shown as cancelled", () => {
    it("reports a violation when no cancellation was sent", () => {
      oracle.checkFinalState(new Map([["a", "cancelled"]]));
      assert.equal(oracle.violations.length, 1);
    });

    // Guards against a false violation: the cancellation took effect and only
    // its answer was lost in the network.
    it("reports none when a cancellation was sent", () => {
      oracle.cancellationSent("a");
      oracle.checkFinalState(new Map([["a", "cancelled"]]));
      assert.deepEqual(oracle.violations, []);
    });

    it("reports a violation when one of its tasks still runs", () => {
      oracle.cancellationSent("a");
      oracle.runStarted("a.0.0.0", 1, "e", "");
      oracle.checkFinalState(new Map([["a", "cancelled"]]));
      assert.equal(oracle.violations.length, 1);
    });
  });
});
