/** Simulations for fixed scenarios, whose entries have formed a cluster. */
import {
  BatchSimulation,
  type BatchSimulationOptions,
} from "../../sim/batch_simulation.ts";

/** Time in which the entries discover one another, in ms. */
const settleMs = 3_000;

/**
 * Creates a simulation and waits until its entries have discovered one another.
 * The default is three entries and four hosts per pool.
 */
export async function settledSimulation(
  options: Partial<BatchSimulationOptions> = {},
): Promise<BatchSimulation> {
  const sim = new BatchSimulation({
    seed: 1,
    entries: 3,
    hostsPerPool: 4,
    ...options,
  });
  await sim.advance(settleMs);
  return sim;
}

/** Indexes in `sim.hosts` of the hosts that run a task. */
export function busyHosts(sim: BatchSimulation): readonly number[] {
  return [...sim.hosts.keys()]
    .filter((i) => (sim.hosts[i].endpoint?.runs.size ?? 0) > 0);
}

/** Kills all processes of a simulation; their timers no longer fire. */
export function endSimulation(sim: BatchSimulation): void {
  for (const { process } of sim.entries.values()) process.kill();
}
