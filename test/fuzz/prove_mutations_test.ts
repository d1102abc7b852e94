/** Tests of the report on disabled safety mechanisms. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { defaultMechanisms } from "../../src/entry/index.ts";
import { proveMutations } from "./prove_mutations.ts";
import type { FuzzReport } from "./simulate.ts";

const mutations = ["budget check", "epoch confirmation"].map((name) => ({
  name,
  mechanisms: { ...defaultMechanisms },
}));
const passed: FuzzReport = { runs: 1, eventCounts: new Map() };
const failed: FuzzReport = { ...passed, violations: ["mixed"], steps: [] };

/** Proves the mutations, where fuzzing ends with one of `reports` for each. */
async function prove(reports: readonly FuzzReport[]) {
  const remaining = [...reports];
  const fuzzWith = () => Promise.resolve(remaining.shift() ?? passed);
  const lines: string[] = [];
  const report = await proveMutations(
    mutations,
    fuzzWith,
    (line) => lines.push(line),
  );
  return { ...report, lines };
}

describe("a proof", () => {
  describe("with a mutation that goes undetected", () => {
    // Guards against a proof that passes although fuzzing proves nothing.
    it("exits with 1 and names the mutation", async () => {
      const { undetected, exitCode, lines } = await prove([failed, passed]);
      assert.deepEqual(undetected, ["epoch confirmation"]);
      assert.equal(lines.at(-1), "UNDETECTED  without epoch confirmation");
      assert.equal(exitCode, 1);
    });
  });

  describe("with mutations that are all detected", () => {
    it("exits with 0", async () => {
      const { undetected, exitCode } = await prove([failed, failed]);
      assert.deepEqual(undetected, []);
      assert.equal(exitCode, 0);
    });
  });
});
