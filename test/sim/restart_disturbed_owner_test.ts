/**
 * Endpoints that restart and are cut off while their owner is disturbed: it is
 * frozen, has just taken over, or has no store, or their row is gone.
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

/** Seeds of the days of one scenario. */
const seeds = [1, 2] as const;

/** Restarts an endpoint and cuts it off `cutAfterMs` after its return. */
async function restartAndCut(
  day: LongTaskDay,
  host: number,
  cutAfterMs: number,
): Promise<void> {
  day.sim.restartEndpoint(host, downMs, true);
  await day.advance(downMs + cutAfterMs);
  day.sim.cutOffHost(host, cutMs, rowKeptMs);
}

/** Pauses the process of the owner for `ms`. */
function freezeOwner(day: LongTaskDay, ms: number): void {
  const process = day.sim.entries.get(day.owner())?.process;
  process?.pause();
  day.sim.clock.after(ms, () => process?.resume());
}

describe("an endpoint that restarts and is cut off", () => {
  describe("while its owner is frozen", () => {
    // Guards against TWICE: an owner that wakes sees answers late, and gave up
    // runs that the next incarnation had started meanwhile.
    for (const afterMs of [300, 550, 600, 700]) {
      for (const frozenMs of [1_000, 4_000]) {
        it(`runs no task twice: frozen after ${afterMs}, for ${frozenMs} ms`, async () => {
          for (const seed of seeds) {
            const day = await LongTaskDay.begin(seed);
            await day.advance(600);
            day.sim.clock.after(afterMs, () => freezeOwner(day, frozenMs));
            await restartAndCut(day, day.busyHost(), 0);
            await day.advance(20_000);
            assert.deepEqual(day.end(), [], `seed ${seed}`);
          }
        });
      }
    }
  });

  describe("soon after its owner has taken over", () => {
    // Guards against TWICE: runs that the owner had adopted, not started.
    for (const afterMs of [1_700, 2_500, 4_000]) {
      it(`runs no task twice: ${afterMs} ms after the kill`, async () => {
        for (const seed of seeds) {
          const day = await LongTaskDay.begin(seed);
          await day.advance(1_500);
          day.killOwner(300);
          await day.advance(afterMs);
          await restartAndCut(day, day.busyHost(), 0);
          day.killOwner(300);
          await day.advance(20_000);
          assert.deepEqual(day.end(), [], `seed ${seed}`);
        }
      });
    }
  });

  describe("while the store is away", () => {
    // Guards against TWICE: a registry that is out of date while nothing can be
    // read, and an owner that takes over as soon as it can.
    for (const awayMs of [300, 2_000]) {
      it(`runs no task twice: back ${awayMs} ms after the cut`, async () => {
        for (const seed of seeds) {
          const day = await LongTaskDay.begin(seed);
          const { sim } = day;
          await day.advance(600);
          const host = day.busyHost();
          const names = [...sim.entries.keys()];
          for (const name of names) sim.store.setBehavior(name, "silent");
          await restartAndCut(day, host, 0);
          await day.advance(awayMs);
          for (const name of names) sim.store.setBehavior(name, "serves");
          day.killOwner(300);
          await day.advance(20_000);
          assert.deepEqual(day.end(), [], `seed ${seed}`);
        }
      });
    }
  });

  describe("after missed heartbeats have removed its row", () => {
    // Guards against TWICE: the session ended with the row, and the next one of
    // the id knew nothing of the leases that it had granted.
    for (const killsOwner of [false, true]) {
      it(`runs no task twice, owner ${killsOwner ? "killed" : "alive"}`, async () => {
        for (const seed of seeds) {
          const day = await LongTaskDay.begin(seed);
          await day.advance(600);
          const host = day.busyHost();
          day.sim.cutOffHost(host, 2_500, 1_400);
          await day.advance(1_000);
          await restartAndCut(day, host, 0);
          if (killsOwner) day.killOwner(300);
          await day.advance(20_000);
          assert.deepEqual(day.end(), [], `seed ${seed}`);
        }
      });
    }
  });
});
