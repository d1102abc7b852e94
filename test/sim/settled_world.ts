/** Worlds for set days, whose entries have found one another. */
import { World, type WorldOptions } from "../../sim/world.ts";

/** Time in which the entries find one another, in ms. */
const settleMs = 3_000;

/** A world of three entries with four hosts a pool, unless told otherwise. */
export async function settledWorld(
  options: Partial<WorldOptions> = {},
): Promise<World> {
  const world = new World({ seed: 1, entries: 3, hostsPerPool: 4, ...options });
  await world.pass(settleMs);
  return world;
}

/** Indexes of the hosts that run a task. */
export function busyHosts(world: World): readonly number[] {
  return [...world.hosts.keys()]
    .filter((i) => (world.hosts[i].endpoint?.runs.size ?? 0) > 0);
}

/** Ends a world's processes, so that no timer is left. */
export function endWorld(world: World): void {
  for (const { process } of world.entries.values()) process.kill();
}
