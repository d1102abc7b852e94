/** Gangs on an endpoint that restarts and is cut off soon after. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LongTaskDay } from "./long_task_day.ts";

/** Time for which the endpoint is down, in ms. */
const downMs = 600;

/** Time for which the endpoint is cut off, in ms; longer than any lease. */
const cutMs = 12_000;

/** Time for which the row of the endpoint stays, in ms. */
const rowKeptMs = 3_000;

/** A gang, and what happens at the return of the endpoint. */
interface Scenario {
  /** Number of tasks of each gang. */
  readonly tasks: number;
  /** Time from the return to the kill of the owner, in ms; undefined for none. */
  readonly killAfterMs?: number;
  /** Time from then to the cut, in ms. */
  readonly cutAfterMs: number;
}

/** Plays a day with gangs; returns its violations. */
async function play(
  seed: number,
  { tasks, killAfterMs, cutAfterMs }: Scenario,
): Promise<readonly string[]> {
  const day = await LongTaskDay.begin(seed, {
    tasks,
    gang: true,
    cpuMillis: 50,
  });
  await day.advance(300);
  const host = day.busyHost();
  day.sim.restartEndpoint(host, downMs, true);
  await day.advance(downMs + (killAfterMs ?? 0));
  if (killAfterMs !== undefined) day.killOwner(300);
  await day.advance(cutAfterMs);
  day.sim.cutOffHost(host, cutMs, rowKeptMs);
  await day.advance(20_000);
  return day.end();
}

describe("gangs on an endpoint that restarts and is cut off", () => {
  const scenarios: readonly Scenario[] = [
    { tasks: 4, cutAfterMs: 0 },
    { tasks: 2, cutAfterMs: 20 },
    { tasks: 2, killAfterMs: 0, cutAfterMs: 20 },
    { tasks: 2, killAfterMs: 50, cutAfterMs: 20 },
  ];

  // Guards against TWICE: the next incarnation carried out the starts of whole
  // gangs, with the longest lease, and no row told of its start.
  for (const scenario of scenarios) {
    const { tasks, killAfterMs = "never", cutAfterMs } = scenario;
    it(`run no member twice: ${tasks} tasks, killed after ${killAfterMs}, cut off after ${cutAfterMs} ms`, async () => {
      for (const seed of [1, 2]) {
        assert.deepEqual(await play(seed, scenario), [], `seed ${seed}`);
      }
    });
  }
});
