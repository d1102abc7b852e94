/** Runs that a later life of their endpoint has started, at a takeover. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LongTaskDay } from "./long_task_day.ts";

/** Time for which the endpoint is down, in ms. */
const downMs = 600;

/** Time for which the endpoint is cut off, in ms. */
const cutMs = 12_000;

/** Time after which a killed process is started again, in ms. */
const processRestartMs = 300;

/**
 * Jobs of long tasks come all the time. An endpoint restarts, is cut off
 * `knownMs` after its return, and its owner is killed. Returns the violations.
 */
async function play(seed: number, knownMs: number): Promise<readonly string[]> {
  const day = await LongTaskDay.begin(seed);
  await day.advance(600);
  const host = day.busyHost();
  day.sim.restartEndpoint(host, downMs, true);
  await day.advance(downMs + knownMs);
  day.sim.isolateHost(host, cutMs);
  await day.advance(50);
  day.killOwner(processRestartMs);
  await day.advance(14_000);
  return day.end();
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
