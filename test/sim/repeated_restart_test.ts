/** Endpoints that restart again while their clock is young, and are cut off. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LongTaskDay } from "./long_task_day.ts";

/** Time for which the endpoint is down each time, in ms. */
const downMs = 300;

/** Time for which the endpoint is cut off, in ms; longer than any lease. */
const cutMs = 12_000;

/** Time for which the row of the endpoint stays, in ms. */
const rowKeptMs = 3_000;

/** Times between two restarts, and of what follows the last one, in ms. */
interface Scenario {
  readonly restarts: number;
  /** Time from the return to the next crash. */
  readonly upMs: number;
  /** Time from the last return to the kill of the owner; undefined for none. */
  readonly killAfterMs?: number;
  /** Time from then to the cut. */
  readonly cutAfterMs: number;
}

/** Plays a day on which an endpoint restarts several times in a row. */
async function play(seed: number, scenario: Scenario) {
  const { restarts, upMs, killAfterMs, cutAfterMs } = scenario;
  const day = await LongTaskDay.begin(seed);
  await day.advance(600);
  const host = day.busyHost();
  for (let i = 0; i < restarts; i++) {
    if (i > 0) await day.advance(upMs);
    day.sim.restartEndpoint(host, downMs, true);
    await day.advance(downMs);
  }
  if (killAfterMs !== undefined) {
    await day.advance(killAfterMs);
    day.killOwner(300);
  }
  await day.advance(cutAfterMs);
  day.sim.cutOffHost(host, cutMs, rowKeptMs);
  await day.advance(20_000);
  return day.end();
}

describe("an endpoint that restarts several times in a row", () => {
  const scenarios: readonly Scenario[] = [
    { restarts: 2, upMs: 300, cutAfterMs: 0 },
    { restarts: 2, upMs: 300, killAfterMs: 0, cutAfterMs: 20 },
    { restarts: 2, upMs: 300, killAfterMs: 50, cutAfterMs: 50 },
    { restarts: 2, upMs: 300, killAfterMs: 100, cutAfterMs: 20 },
    { restarts: 2, upMs: 3_000, killAfterMs: 50, cutAfterMs: 50 },
    { restarts: 3, upMs: 1_000, cutAfterMs: 0 },
  ];

  // Guards against TWICE: a life that began and ended between two holds left
  // orders to the next one, of which no row told.
  for (const scenario of scenarios) {
    const { restarts, upMs, killAfterMs = "never", cutAfterMs } = scenario;
    it(`runs no task twice: ${restarts} restarts, up for ${upMs}, killed after ${killAfterMs}, cut off after ${cutAfterMs} ms`, async () => {
      for (const seed of [1, 2]) {
        assert.deepEqual(await play(seed, scenario), [], `seed ${seed}`);
      }
    });
  }
});
