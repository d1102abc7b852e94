/** Endpoints that restart just before their owner ends and they are cut off. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LongTaskDay } from "./long_task_day.ts";

/** Time for which the endpoint is down, in ms. */
const downMs = 600;

/** Times from the crash of the endpoint to the kill of the owner, in ms. */
const killAfterMs = [650, 700, 800, 1_000, 1_200, 1_500, 1_800, 2_100];

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
  const day = await LongTaskDay.begin(seed);
  await day.advance(600);
  const host = day.busyHost();
  day.sim.restartEndpoint(host, downMs, true);
  await day.advance(killAfterMs ?? downMs);
  if (killAfterMs !== undefined) day.killOwner(processRestartMs);
  await day.advance(cutAfterMs);
  day.sim.disconnectHost(host, cutMs);
  await day.advance(20_000);
  return day.end();
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
