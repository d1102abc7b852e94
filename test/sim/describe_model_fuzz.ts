/** Stateful fuzzing of several entries in the model against the oracle. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { Action } from "../../sim/actions.ts";
import { jobKinds } from "../../sim/jobs.ts";
import { runModel } from "./run_model.ts";

const runs = 12;
const steps = 40;

const small = fc.nat({ max: 11 });
const seconds = fc.integer({ min: 300, max: 6_000 });
const share = fc.constantFrom(0.1, 0.3, 0.6);

/** Work and time come more often than disturbances. */
const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("submit"),
      job: fc.constantFrom(...jobKinds),
      pool: small,
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("wait"),
      ms: fc.integer({ min: 20, max: 1_500 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("cancel"), job: small }),
  },
  fc.record({ kind: fc.constant("kill"), entry: small, downMs: seconds }),
  fc.record({ kind: fc.constant("freeze"), entry: small, ms: seconds }),
  fc.record({ kind: fc.constant("retire"), entry: small }),
  fc.record({
    kind: fc.constant("store"),
    entry: fc.oneof(small, fc.constant("all" as const)),
    mood: fc.constantFrom("refuses", "silent"),
    ms: seconds,
  }),
  fc.record({ kind: fc.constant("lose"), share, ms: seconds }),
  fc.record({
    kind: fc.constant("slow"),
    factor: fc.constantFrom(10, 50, 96),
    ms: seconds,
  }),
  fc.record({ kind: fc.constant("compact") }),
  fc.record({ kind: fc.constant("crash"), host: small, downMs: seconds }),
  fc.record({ kind: fc.constant("cut"), host: small, downMs: seconds }),
  fc.record({ kind: fc.constant("late"), share, ms: seconds }),
  fc.record({
    kind: fc.constant("wave"),
    hosts: fc.integer({ min: 1, max: 8 }),
  }),
) as fc.Arbitrary<Action>;

/** Registers a suite that plays drawn days of one seed. */
export function describeModelFuzz(seed: number): void {
  describe(`the model, seed ${seed}`, () => {
    it("breaks no rule whatever happens", async () => {
      const property = fc.asyncProperty(
        fc.nat({ max: 1_000_000 }),
        fc.array(action, { minLength: steps / 2, maxLength: steps }),
        async (modelSeed, actions) => {
          const { violations } = await runModel(modelSeed, actions);
          assert.deepEqual(violations, []);
        },
      );
      await fc.assert(property, {
        seed,
        numRuns: runs,
        includeErrorInReport: true,
      });
    });
  });
}
