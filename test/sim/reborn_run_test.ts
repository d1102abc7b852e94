/** Runs that a later life of their endpoint has started, at a takeover. */
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

/** Time for which the endpoint is cut off, in ms. */
const cutMs = 12_000;

/** Time after which a killed process is started again, in ms. */
const processRestartMs = 300;

/** Demand of a task, of which an endpoint has room for many. */
const smallDemand = { cpuMillis: 100, memoryMb: 100, gpus: 0 };

/**
 * Jobs of long tasks come all the time. An endpoint restarts, is cut off
 * `knownMs` after its return, and its owner is killed. Returns the violations.
 */
async function play(seed: number, knownMs: number): Promise<readonly string[]> {
  const sim = await settledSimulation({ seed, workFactor: 24 });
  await sim.advance(earlierMs);
  let jobs = 0;
  const submitFor = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      const live = [...sim.entries.values()].filter((e) => !e.process.isDead);
      const job = makeJob(++jobs, "single", "quotes", sim.clock.wall());
      const steps = [{ ...job.steps[0], demand: smallDemand }];
      const entry = live[jobs % live.length].name;
      if (jobs < 100) sim.submit({ ...job, steps }, entry);
      await sim.advance(50);
    }
  };
  await submitFor(600);
  const [host] = busyHosts(sim);
  sim.restartEndpoint(host, downMs, true);
  await submitFor(downMs + knownMs);
  sim.isolateHost(host, cutMs);
  await submitFor(50);
  const owner = sim.ownerOf("quotes") ?? "";
  sim.killEntry(owner);
  sim.clock.after(processRestartMs, () => sim.startEntry(owner));
  await submitFor(14_000);
  endSimulation(sim);
  return sim.oracle.violations;
}

describe("a run that the next life of its endpoint has started", () => {
  // Guards against TWICE: the life that listed the run was not recorded with its
  // acknowledgement, so that the next owner took its lease for a short one.
  for (const knownMs of [1_000, 1_500, 1_750, 2_000, 2_500]) {
    it(`is not started again after a takeover, cut after ${knownMs} ms`, async () => {
      for (const seed of [1, 2, 3]) {
        assert.deepEqual(await play(seed, knownMs), [], `seed ${seed}`);
      }
    });
  }
});
