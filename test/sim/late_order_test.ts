/** Starts that arrive seconds late, after their endpoint has restarted. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LongTaskDay } from "./long_task_day.ts";

/** Share of the orders that something on the way keeps. */
const keptShare = 0.4;

/** Longest time for which an order is kept, in ms. */
const maxKeptMs = 6_000;

/** Time in which orders are kept, in ms. */
const keepingMs = 600;

/** Time from then to the crash, in ms: the starts have been settled by a stop. */
const settlingMs = 2_400;

/** A restart of the endpoint after its starts have been settled. */
interface Scenario {
  /** Average run time of tasks divided by the estimate of 600 ms. */
  readonly workFactor: number;
  /** Shortest time for which an order is kept, in ms. */
  readonly minKeptMs: number;
  /** Time for which the endpoint is down, in ms. */
  readonly downMs: number;
  /** Whether its connections fall silent instead of breaking. */
  readonly isDark: boolean;
}

/** Plays a day on which starts outlive the incarnation that has settled them. */
async function play(
  seed: number,
  { workFactor, minKeptMs, downMs, isDark }: Scenario,
): Promise<readonly string[]> {
  const day = await LongTaskDay.begin(seed, { workFactor });
  const { sim } = day;
  sim.keptOrders = { share: keptShare, minMs: minKeptMs, maxMs: maxKeptMs };
  await day.advance(keepingMs);
  const host = day.busyHost();
  sim.keptOrders = undefined;
  await day.advance(settlingMs);
  sim.restartEndpoint(host, downMs, isDark);
  await day.advance(15_000);
  return await day.finish();
}

describe("a start that arrives after its endpoint has restarted", () => {
  const scenarios: readonly Scenario[] = [
    { workFactor: 1, minKeptMs: 2_000, downMs: 200, isDark: false },
    { workFactor: 4, minKeptMs: 2_000, downMs: 200, isDark: false },
    { workFactor: 1, minKeptMs: 4_500, downMs: 600, isDark: true },
  ];

  // Guards against TWICE: a stop that the earlier incarnation had confirmed
  // settled the start, and the next one carried it out.
  for (const scenario of scenarios) {
    const { workFactor, minKeptMs } = scenario;
    it(`runs no task twice: ${workFactor} x 600 ms, kept for ${minKeptMs} ms`, async () => {
      for (const seed of [1, 2, 3]) {
        assert.deepEqual(await play(seed, scenario), [], `seed ${seed}`);
      }
    });
  }
});
