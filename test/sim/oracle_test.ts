/** What the model's oracle counts as broken. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { BatchOracle } from "../../sim/oracle.ts";

const job = {
  id: "a",
  payload: "",
  maxAttempts: 1,
  steps: [{ count: 1, after: [], longRunning: false }],
};

describe("the model's oracle", () => {
  let oracle: BatchOracle;

  beforeEach(() => {
    oracle = new BatchOracle(() => 0, () => false);
    oracle.jobSubmitted(job);
    oracle.submissionAnswered("a", "accepted");
  });

  describe("about a job that is shown as cancelled", () => {
    it("calls it lost when nobody cancelled it", () => {
      oracle.checkFinalState(new Map([["a", "cancelled"]]));
      assert.equal(oracle.violations.length, 1);
    });

    // Guards against a finding that is none: the answer to a cancellation was
    // lost in the network, the cancellation was not.
    it("allows it when a cancellation was sent", () => {
      oracle.cancellationSent("a");
      oracle.checkFinalState(new Map([["a", "cancelled"]]));
      assert.deepEqual(oracle.violations, []);
    });

    it("still asks for all its tasks to have ended", () => {
      oracle.cancellationSent("a");
      oracle.runStarted("a.0.0.0", 1, "e", "");
      oracle.checkFinalState(new Map([["a", "cancelled"]]));
      assert.equal(oracle.violations.length, 1);
    });
  });
});
