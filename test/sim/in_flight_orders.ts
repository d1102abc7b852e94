/** Scenarios in which an endpoint is disturbed while starts are in flight. */
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

/** Longest delay of an order or of its answer, in ms; below their timeout. */
const maxDelayMs = 800;

/** Time from the submission until the starts are in flight, in ms. */
const submissionToStartsMs = 40;

/** Time in which all work ends after the disturbance, in ms. */
const drainMs = 20_000;

/** Seeds of the simulations of one scenario; they draw other delays each. */
const seeds = [1, 2, 3, 4, 5, 6] as const;

/** A scenario's disturbance and the length of its tasks. */
export interface InFlightScenario {
  /** Average run time of tasks divided by the estimate of 600 ms. */
  readonly workFactor: number;
  /** Number of hosts of the pool. */
  readonly hostsPerPool: number;
  /**
   * Disturbs the endpoint of `host`, where tasks have been placed; may advance
   * the clock.
   */
  readonly disturb: (
    runner: ActionRunner,
    host: number,
    sim: BatchSimulation,
  ) => unknown;
}

/** Index of the host whose endpoint the first task was placed on. */
function firstPlacedHost(sim: BatchSimulation): number {
  const line = sim.log.find((each) => each.includes(" task-placed ")) ?? "";
  const index = sim.hosts.findIndex(({ endpoint }) =>
    line.includes(`"endpoint":"${endpoint?.info.id}"`)
  );
  if (index < 0) throw new Error("no task has been placed");
  return index;
}

/**
 * Submits three jobs of eight parallel tasks, disturbs the endpoint of the
 * first placed task while the starts are in flight, and returns all
 * violations.
 */
async function violationsOf(
  seed: number,
  scenario: InFlightScenario,
): Promise<readonly string[]> {
  const { hostsPerPool, workFactor } = scenario;
  const sim = await settledSimulation({
    seed,
    entries: 1,
    hostsPerPool,
    workFactor,
  });
  const runner = new ActionRunner(sim);
  sim.maxOrderDelayMs = maxDelayMs;
  for (let i = 0; i < 3; i++) {
    await runner.perform({ kind: "submit", job: "wide", pool: 0 });
  }
  await sim.advance(submissionToStartsMs);
  await scenario.disturb(runner, firstPlacedHost(sim), sim);
  await sim.advance(drainMs);
  sim.endDisturbances();
  await sim.advance(drainMs);
  const violations = await sim.finish();
  endSimulation(sim);
  return violations.map((violation) => `seed ${seed}: ${violation}`);
}

/** The violations of a scenario with each of the seeds. */
export async function inFlightViolations(
  scenario: InFlightScenario,
): Promise<readonly string[]> {
  const found: string[] = [];
  for (const seed of seeds) found.push(...await violationsOf(seed, scenario));
  return found;
}
