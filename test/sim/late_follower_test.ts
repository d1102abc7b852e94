/**
 * Endpoints that restart and are cut off while their owner alone follows the
 * registrations, so that the next owner sees only the later incarnation.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LongTaskDay } from "./long_task_day.ts";

/** Time for which the endpoint is down, in ms. */
const downMs = 600;

/** Time for which the endpoint is cut off, in ms; longer than any lease. */
const cutMs = 12_000;

/** Time for which the row of the endpoint stays, in ms. */
const rowKeptMs = 3_000;

/** Time from the cut, when the other entries start, to the owner's end, in ms. */
const ownerEndsAfterMs = 2_000;

/** Plays a day on which the endpoint is cut off some time after its return. */
async function play(
  seed: number,
  cutAfterMs: number,
): Promise<readonly string[]> {
  const day = await LongTaskDay.begin(seed);
  const owner = day.owner();
  const others = [...day.sim.entries.keys()].filter((name) => name !== owner);
  for (const name of others) day.sim.killEntry(name);
  await day.advance(600);
  const host = day.busyHost();
  day.sim.restartEndpoint(host, downMs, true);
  await day.advance(downMs + cutAfterMs);
  day.sim.cutOffHost(host, cutMs, rowKeptMs);
  for (const name of others) day.sim.startEntry(name);
  await day.advance(ownerEndsAfterMs);
  day.killOwner(300);
  await day.advance(20_000);
  return day.end();
}

describe("an entry that follows the registrations after a restart", () => {
  // Guards against TWICE: the next owner took a lease that the later incarnation
  // had granted by the earlier one's clock for one by its own clock.
  for (const cutAfterMs of [0, 50, 600, 1_500, 2_500]) {
    it(`runs no task twice, cut off after ${cutAfterMs} ms`, async () => {
      for (const seed of [1, 2, 3]) {
        const violations = await play(seed, cutAfterMs);
        assert.deepEqual(violations, [], `seed ${seed}`);
      }
    });
  }
});
