/** Runs a sequence of actions in the model and returns what broke. */
import { type Action, ActionRunner } from "../../sim/actions.ts";
import type { World } from "../../sim/world.ts";
import { endSimulation, settledSimulation } from "./settled_world.ts";

/**
 * Time for all work to end once the disturbances are over, in ms: the longest
 * lease of an earlier owner, and then the work itself.
 */
const drainMs = 40_000;

/** A finished run. */
export interface ModelResult {
  readonly violations: readonly string[];
  readonly sim: World;
}

/** Plays the actions, ends all disturbances, and judges. */
export async function runModel(
  seed: number,
  actions: readonly Action[],
  entries = 3,
): Promise<ModelResult> {
  const sim = await settledSimulation({ seed, entries });
  const runner = new ActionRunner(sim);
  for (const action of actions) await runner.perform(action);
  sim.endDisturbances();
  await sim.pass(drainMs);
  const violations = await sim.finish();
  endSimulation(sim);
  return { violations, sim };
}
