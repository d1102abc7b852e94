/** Ends of an endpoint that restarts while a hold of its owner is on its way. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LongTaskDay } from "./long_task_day.ts";

/** Time for which the endpoint is down, in ms. */
const downMs = 600;

/** Time after which a killed process is started again, in ms. */
const processRestartMs = 300;

/** Average run time of a task divided by its estimate of 600 ms. */
const workFactor = 2.5;

/** Number of jobs that come. */
const jobs = 200;

/** Times from the first job to the crash of the endpoint, in ms. */
const crashTimesMs = Array.from({ length: 20 }, (_, i) => 3_000 + 25 * i);

/** Times from the crash to the kill of the owner, in ms. */
const killTimesMs = [150, 400, 700];

/**
 * Jobs come all the time. An endpoint that has listed many ends restarts, and its
 * owner is killed `killAfterMs` after the crash, if that is defined. Returns the
 * violations.
 */
async function play(
  seed: number,
  crashAfterMs: number,
  killAfterMs?: number,
): Promise<readonly string[]> {
  const day = await LongTaskDay.begin(seed, { workFactor, jobs });
  await day.advance(crashAfterMs);
  day.sim.restartEndpoint(day.busyHost(), downMs, true);
  if (killAfterMs !== undefined) {
    await day.advance(killAfterMs);
    day.killOwner(processRestartMs);
  }
  await day.advance(8_000);
  return day.finish();
}

describe("an endpoint that restarts between an answer and the next hold", () => {
  // Guards against TWICE: a hold that was meant for the former incarnation told
  // the next one that its first ends were stored, so that it never listed them.
  for (const seed of [1, 2, 3]) {
    it(`has no task run again that is done, seed ${seed}`, async () => {
      for (const crashAfterMs of crashTimesMs) {
        const violations = await play(seed, crashAfterMs);
        assert.deepEqual(violations, [], `crash after ${crashAfterMs} ms`);
      }
    });
  }

  // Guards against TWICE: the next owner did not know of such a hold.
  for (const killAfterMs of killTimesMs) {
    it(`nor after a takeover, ${killAfterMs} ms after the crash`, async () => {
      for (const crashAfterMs of crashTimesMs) {
        const violations = await play(1, crashAfterMs, killAfterMs);
        assert.deepEqual(violations, [], `crash after ${crashAfterMs} ms`);
      }
    });
  }
});
