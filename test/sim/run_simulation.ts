/** Runs a sequence of actions in a simulation and collects the violations. */
import { type Action, ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

/**
 * Time in which all work ends after the disturbances, in ms: the longest lease
 * of an earlier owner, and then the work itself.
 */
const drainMs = 40_000;

/** Outcome of a finished simulation. */
export interface SimulationResult {
  readonly violations: readonly string[];
  readonly sim: BatchSimulation;
}

/**
 * Performs the actions, ends all disturbances, waits for all work to end, and
 * checks the final state.
 */
export async function runSimulation(
  seed: number,
  actions: readonly Action[],
  entries = 3,
): Promise<SimulationResult> {
  const sim = await settledSimulation({ seed, entries });
  const runner = new ActionRunner(sim);
  for (const action of actions) await runner.perform(action);
  sim.endDisturbances();
  await sim.advance(drainMs);
  const violations = await sim.finish();
  endSimulation(sim);
  return { violations, sim };
}
