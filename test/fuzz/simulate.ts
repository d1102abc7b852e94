/** Runs simulations of generated steps and counts the events that occurred. */
import fc from "fast-check";
import { seededRandom } from "../../fakes/random.ts";
import { defaultMechanisms, type Mechanisms } from "../../src/entry/index.ts";
import { performStep, type Step, stepArbitrary } from "./steps.ts";
import { EntrySimulation } from "./entry_simulation.ts";

const maxSteps = 30;

/** Result of a series of simulations. */
export interface FuzzReport {
  readonly runs: number;
  /** Violations in the shortest failing sequence; undefined if none failed. */
  readonly violations?: readonly string[];
  /** The shortest failing sequence; undefined if none failed. */
  readonly steps?: readonly Step[];
  /** Number of occurrences of each event. */
  readonly eventCounts: ReadonlyMap<string, number>;
}

/** Runs one sequence of steps, adds up its events, and returns violations. */
export async function simulate(
  steps: readonly Step[],
  mechanisms: Mechanisms = defaultMechanisms,
  eventCounts = new Map<string, number>(),
): Promise<readonly string[]> {
  const simulation = new EntrySimulation(seededRandom(1), mechanisms);
  await simulation.start();
  for (const step of steps) await performStep(simulation, step);
  await simulation.settle();
  for (const [event, count] of simulation.eventCounts) {
    eventCounts.set(event, (eventCounts.get(event) ?? 0) + count);
  }
  return simulation.oracle.violations;
}

/** Runs generated sequences and shrinks the first that violates a guarantee. */
export async function fuzz(
  seed: number,
  runs: number,
  mechanisms: Mechanisms = defaultMechanisms,
  shrinkMs = 20_000,
): Promise<FuzzReport> {
  const eventCounts = new Map<string, number>();
  let violations: readonly string[] = [];
  let shrinkUntil = Infinity;
  const property = fc.asyncProperty(
    fc.array(stepArbitrary, { minLength: 4, maxLength: maxSteps, size: "max" }),
    async (steps) => {
      // After the time limit, shrinking ends with the shortest sequence so far.
      if (performance.now() > shrinkUntil) return true;
      const found = await simulate(steps, mechanisms, eventCounts);
      if (found.length > 0) {
        if (violations.length === 0) shrinkUntil = performance.now() + shrinkMs;
        violations = found;
      }
      return found.length === 0;
    },
  );
  const result = await fc.check(property, { seed, numRuns: runs });
  if (!result.failed) return { runs: result.numRuns, eventCounts };
  const steps = result.counterexample?.[0] as readonly Step[];
  return {
    runs: result.numRuns,
    violations,
    steps,
    eventCounts,
  };
}
