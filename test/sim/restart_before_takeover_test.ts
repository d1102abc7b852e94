/** Endpoints that restart just before their owner ends and they are cut off. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeJob } from "../../sim/jobs.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Time for which the endpoint is down, in ms. */
const downMs = 600;

/** Time on the endpoint's clock before the crash, in ms; longer than any lease. */
const earlierMs = 15_000;

/** Times from the crash of the endpoint to the kill of the owner, in ms. */
const killAfterMs = [650, 700, 800, 1_000, 1_200, 1_500, 1_800, 2_100];

/** Demand of a task, of which an endpoint has room for many. */
const smallDemand = { cpuMillis: 100, memoryMb: 100, gpus: 0 };

/** Number of jobs that come. */
const maxJobs = 60;

/** Time after which a killed process is started again, in ms. */
const processRestartMs = 300;

/** Time for which the endpoint is cut off, in ms; longer than any lease. */
const cutMs = 12_000;

interface Scenario {
  /** Time from the crash to the kill of the owner, in ms; undefined for none. */
  readonly killAfterMs: number | undefined;
  /** Time from the kill, or the end of the crash, to the cut, in ms. */
  readonly cutAfterMs: number;
}

/** Jobs of long tasks come all the time; returns the violations. */
async function play(
  seed: number,
  { killAfterMs, cutAfterMs }: Scenario,
): Promise<readonly string[]> {
  const sim = await settledSimulation({
    seed,
    hostsPerPool: 4,
    workFactor: 24,
  });
  await sim.advance(earlierMs);
  let jobs = 0;
  const submitFor = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      const live = [...sim.entries.values()].filter((e) => !e.process.isDead);
      const job = makeJob(++jobs, "single", "quotes", sim.clock.wall());
      const steps = [{ ...job.steps[0], demand: smallDemand }];
      const entry = live[jobs % live.length].name;
      if (jobs < maxJobs) sim.submit({ ...job, steps }, entry);
      await sim.advance(50);
    }
  };
  await submitFor(600);
  const [host] = busyHosts(sim);
  sim.restartEndpoint(host, downMs, true);
  await submitFor(killAfterMs ?? downMs);
  if (killAfterMs !== undefined) {
    const owner = sim.ownerOf("quotes") ?? "";
    sim.killEntry(owner);
    sim.clock.after(processRestartMs, () => sim.startEntry(owner));
  }
  await submitFor(cutAfterMs);
  sim.disconnectHost(host, cutMs);
  await submitFor(20_000);
  endSimulation(sim);
  return sim.oracle.violations;
}

describe("an endpoint that restarts and is cut off soon after", () => {
  // Guards against TWICE: orders that were meant for the former life are carried
  // out by the next one, with the longest lease there is, of which an owner that
  // takes over does not know.
  for (const killAfter of killAfterMs) {
    it(`runs no task twice when its owner is killed after ${killAfter} ms`, async () => {
      for (const seed of [1, 2, 3]) {
        for (const cutAfterMs of [50, 400]) {
          const scenario = { killAfterMs: killAfter, cutAfterMs };
          assert.deepEqual(await play(seed, scenario), [], `seed ${seed}`);
        }
      }
    });
  }

  it("runs no task twice when its owner lives on", async () => {
    for (const seed of [1, 2, 3]) {
      for (const cutAfterMs of [0, 50, 100, 300, 600, 1_000, 1_500]) {
        const scenario = { killAfterMs: undefined, cutAfterMs };
        const violations = await play(seed, scenario);
        assert.deepEqual(violations, [], `seed ${seed}, cut ${cutAfterMs}`);
      }
    }
  });
});
