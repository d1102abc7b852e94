/** Property-based test of the batch simulation against the oracle. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { Action } from "../../sim/actions.ts";
import { jobKinds } from "../../sim/jobs.ts";
import { cpuLimit } from "../../sim/workspaces.ts";
import { runSimulation } from "./run_simulation.ts";

/** Number of action sequences per seed. */
const runCount = 12;

/** Maximum actions in a sequence; the minimum is half of it. */
const maxActions = 40;

const index = fc.nat({ max: 11 });
const durationMs = fc.integer({ min: 300, max: 6_000 });
/** Time for which an endpoint is down when it restarts under its id, in ms. */
const restartMs = fc.integer({ min: 100, max: 1_500 });

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

/** Draws restarts, of which some are followed by a cut within milliseconds. */
const arbitraryRestart: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    kind: fc.constant("restart-cut"),
    host: index,
    downMs: restartMs,
    cutAfterMs: fc.integer({ min: 0, max: 600 }),
    cutMs: fc.integer({ min: 2_000, max: 12_000 }),
    killsOwner: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("restart"),
    host: index,
    downMs: restartMs,
  }),
) as fc.Arbitrary<Action>;

/** Share of the actions that are restarts on days with restarts. */
const restartWeight = 1;

/** The same of the other actions. */
const usualWeight = 5;

/**
 * Draws actions as {@link arbitraryAction} does, and restarts between them. The
 * days without restarts stay as they were for each seed.
 */
const arbitraryRestartAction: fc.Arbitrary<Action> = fc.oneof(
  { weight: usualWeight, arbitrary: arbitraryAction },
  { weight: restartWeight, arbitrary: arbitraryRestart },
);

/** Draws jobs of workspaces, and changes of their limits. */
const arbitraryLimitAction: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant("submit"),
      job: fc.constantFrom(...jobKinds),
      pool: index,
      workspace: fc.nat({ max: 1 }),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("limit"),
      workspace: fc.nat({ max: 1 }),
      cpuMillis: fc.constantFrom(800, 2_000, 5_000, 12_000),
    }),
  },
  { weight: 17, arbitrary: arbitraryAction },
) as fc.Arbitrary<Action>;

/** Draws outages of parts of the store between other actions. */
const arbitraryOutageAction: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("store-partitions"),
      share: fc.constantFrom(0.1, 0.2, 0.3),
      draw: fc.nat({ max: 1_000_000 }),
      ms: fc.integer({ min: 1_000, max: 6_500 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("store-table"),
      table: fc.constant("members"),
      ms: fc.integer({ min: 1_000, max: 6_500 }),
    }),
  },
  { weight: 25, arbitrary: arbitraryAction },
) as fc.Arbitrary<Action>;

/** Limits at the beginning of a day with limits. */
const firstLimits = { acme: cpuLimit(6_000), zenith: cpuLimit(3_000) };

/**
 * Kinds of day: without restarts under an id, with them and long tasks, with
 * limits of workspaces, or with a store that is down in part.
 */
export type FuzzedDay = "usual" | "restarts" | "limits" | "outages";

/** Share of long tasks on days with restarts, which outlast any lease. */
const longShare = 0.35;

/** What is drawn on each kind of day, and the options of its simulation. */
const days = {
  usual: { action: arbitraryAction, options: {} },
  restarts: { action: arbitraryRestartAction, options: { longShare } },
  limits: { action: arbitraryLimitAction, options: { limits: firstLimits } },
  outages: { action: arbitraryOutageAction, options: {} },
};

/** Registers a suite that performs action sequences generated from a seed. */
export function describeModelFuzz(
  seed: number,
  day: FuzzedDay = "usual",
): void {
  const { action, options } = days[day];
  const name = day === "usual" ? "" : ` with ${day}`;
  describe(`the batch simulation${name}, seed ${seed}`, () => {
    it("violates no rule in generated action sequences", async () => {
      const property = fc.asyncProperty(
        fc.nat({ max: 1_000_000 }),
        fc.array(action, {
          minLength: maxActions / 2,
          maxLength: maxActions,
        }),
        async (simulationSeed, actions) => {
          const { violations } = await runSimulation(
            simulationSeed,
            actions,
            options,
          );
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
