/** Property-based test of the batch simulation against the oracle. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { Action } from "../../sim/actions.ts";
import { jobKinds } from "../../sim/jobs.ts";
import { runSimulation } from "./run_simulation.ts";

/** Number of action sequences per seed. */
const runCount = 12;

/** Maximum actions in a sequence; the minimum is half of it. */
const maxActions = 40;

const index = fc.nat({ max: 11 });
const durationMs = fc.integer({ min: 300, max: 6_000 });
const share = fc.constantFrom(0.1, 0.3, 0.6);

/** Generates actions; submissions and waits outnumber disturbances. */
const arbitraryAction: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("submit"),
      job: fc.constantFrom(...jobKinds),
      pool: index,
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
    arbitrary: fc.record({ kind: fc.constant("cancel"), job: index }),
  },
  fc.record({ kind: fc.constant("kill"), entry: index, downMs: durationMs }),
  fc.record({ kind: fc.constant("freeze"), entry: index, ms: durationMs }),
  fc.record({ kind: fc.constant("retire"), entry: index }),
  fc.record({
    kind: fc.constant("store"),
    entry: fc.oneof(index, fc.constant("all" as const)),
    behavior: fc.constantFrom("refuses", "silent"),
    ms: durationMs,
  }),
  fc.record({ kind: fc.constant("lose"), share, ms: durationMs }),
  fc.record({
    kind: fc.constant("slow"),
    factor: fc.constantFrom(10, 50, 96),
    ms: durationMs,
  }),
  fc.record({ kind: fc.constant("compact") }),
  fc.record({ kind: fc.constant("crash"), host: index, downMs: durationMs }),
  fc.record({ kind: fc.constant("cut"), host: index, downMs: durationMs }),
  fc.record({ kind: fc.constant("late"), share, ms: durationMs }),
  fc.record({
    kind: fc.constant("wave"),
    hosts: fc.integer({ min: 1, max: 8 }),
  }),
) as fc.Arbitrary<Action>;

/** Registers a suite that performs action sequences generated from a seed. */
export function describeModelFuzz(seed: number): void {
  describe(`the batch simulation, seed ${seed}`, () => {
    it("violates no rule in generated action sequences", async () => {
      const property = fc.asyncProperty(
        fc.nat({ max: 1_000_000 }),
        fc.array(arbitraryAction, {
          minLength: maxActions / 2,
          maxLength: maxActions,
        }),
        async (simulationSeed, actions) => {
          const { violations } = await runSimulation(simulationSeed, actions);
          assert.deepEqual(violations, []);
        },
      );
      await fc.assert(property, {
        seed,
        numRuns: runCount,
        includeErrorInReport: true,
      });
    });
  });
}
