/** Worlds for set days, whose entries have found one another. */
import { World, type WorldOptions } from "../../sim/world.ts";

/** Time in which the entries find one another, in ms. */
const settleMs = 3_000;

/** A sim of three entries with four hosts a pool, unless told otherwise. */
export async function settledSimulation(
  options: Partial<WorldOptions> = {},
): Promise<World> {
  const sim = new World({
    seed: 1,
    entries: 3,
    hostsPerPool: 4,
    ...options,
  });
  await sim.pass(settleMs);
  return sim;
}

/** Indexes of the hosts that run a task. */
export function busyHosts(sim: World): readonly number[] {
  return [...sim.hosts.keys()]
    .filter((i) => (sim.hosts[i].endpoint?.runs.size ?? 0) > 0);
}

/** Ends a sim's processes, so that no timer is left. */
export function endSimulation(sim: World): void {
  for (const { process } of sim.entries.values()) process.kill();
}
