/** Runs a sequence of actions in the model and returns what broke. */
import { type Action, Play } from "../../sim/actions.ts";
import type { World } from "../../sim/world.ts";
import { endWorld, settledWorld } from "./settled_world.ts";

/**
 * Time for all work to end once the disturbances are over, in ms: the longest
 * lease of an earlier owner, and then the work itself.
 */
const finishMs = 40_000;

/** A finished run. */
export interface ModelRun {
  readonly violations: readonly string[];
  readonly world: World;
}

/** Plays the actions, ends all disturbances, and judges. */
export async function runModel(
  seed: number,
  actions: readonly Action[],
  entries = 3,
): Promise<ModelRun> {
  const world = await settledWorld({ seed, entries });
  const play = new Play(world);
  for (const action of actions) await play.act(action);
  world.heal();
  await world.pass(finishMs);
  const violations = await world.finish();
  endWorld(world);
  return { violations, world };
}
