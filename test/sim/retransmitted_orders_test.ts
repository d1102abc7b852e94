/** Orders of killed owners that their host goes on sending into a cut. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LongTaskDay } from "./long_task_day.ts";

/** Time for which the endpoint is down, in ms. */
const downMs = 600;

/** Time after which a killed process is started again, in ms. */
const processRestartMs = 300;

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
  const day = await LongTaskDay.begin(seed);
  await day.advance(600);
  const host = day.busyHost();
  day.sim.restartEndpoint(host, downMs, true);
  await day.advance(downMs);
  day.sim.disconnectHost(host, cutMs);
  await day.advance(killMs);
  day.killOwner(processRestartMs);
  await day.advance(24_000);
  return day.end();
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
