/** Orders of killed owners that their host goes on sending into a cut. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeJob } from "../../sim/jobs.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Time on the endpoint's clock before the crash, in ms; longer than any lease. */
const earlierMs = 20_000;

/** Time for which the endpoint is down, in ms. */
const downMs = 600;

/** Time after which a killed process is started again, in ms. */
const processRestartMs = 300;

/** Demand of a task, of which an endpoint has room for many. */
const smallDemand = { cpuMillis: 100, memoryMb: 100, gpus: 0 };

/**
 * Jobs of long tasks come all the time. An endpoint restarts and is cut off as
 * soon as it is back, for `cutMs`; its owner is killed `killMs` later. Returns the
 * violations.
 */
async function play(
  seed: number,
  killMs: number,
  cutMs: number,
): Promise<readonly string[]> {
  const sim = await settledSimulation({ seed, workFactor: 24 });
  await sim.advance(earlierMs);
  let jobs = 0;
  const submitFor = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      const live = [...sim.entries.values()].filter((e) => !e.process.isDead);
      const job = makeJob(++jobs, "single", "quotes", sim.clock.wall());
      const steps = [{ ...job.steps[0], demand: smallDemand }];
      const entry = live[jobs % live.length].name;
      if (jobs < 60) sim.submit({ ...job, steps }, entry);
      await sim.advance(50);
    }
  };
  await submitFor(600);
  const [host] = busyHosts(sim);
  sim.restartEndpoint(host, downMs, true);
  await submitFor(downMs);
  sim.disconnectHost(host, cutMs);
  await submitFor(killMs);
  const owner = sim.ownerOf("quotes") ?? "";
  sim.killEntry(owner);
  sim.clock.after(processRestartMs, () => sim.startEntry(owner));
  await submitFor(24_000);
  endSimulation(sim);
  return sim.oracle.violations;
}

describe("an order of a killed owner that is delivered at the end of a cut", () => {
  // Guards against TWICE: the next owner had given the run up by then, and the
  // endpoint, which had restarted, knew no newer term.
  for (const cutMs of [9_000, 12_000]) {
    for (const killMs of [50, 150, 500]) {
      it(`starts no task twice, cut ${cutMs} ms, kill after ${killMs} ms`, async () => {
        for (const seed of [1, 2, 3]) {
          assert.deepEqual(await play(seed, killMs, cutMs), [], `seed ${seed}`);
        }
      });
    }
  }
});
