/** How long tasks stand still when their endpoint restarts and its owner ends. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LongTaskDay } from "./long_task_day.ts";

/** Time for which the endpoint is down, in ms. */
const downMs = 600;

/** Time for which a job may have nothing running, in ms. */
const maxStillMs = 3_000;

/** Time in which the tasks run again, in ms. */
const watchedMs = 10_000;

describe("a takeover at the return of an endpoint that has restarted", () => {
  // Guards against LOST: the endpoint showed by two lists that the tasks were not
  // there, and each of them was held back for 1 s to wait for an end.
  for (const seed of [1, 2, 3]) {
    it(`has its tasks run again within 3 s of the crash, seed ${seed}`, async () => {
      const day = await LongTaskDay.begin(seed, { cpuMillis: 200 });
      const { sim } = day;
      await day.advance(1_200);
      const host = day.busyHost();
      const runs = sim.hosts[host].endpoint?.runs.values() ?? [];
      const tasks = [...runs].map(({ task }) => task);
      const crashedAt = sim.clock.now();
      sim.restartEndpoint(host, downMs, true);
      await day.advance(downMs);
      day.killOwner(300);
      await day.advance(watchedMs);
      assert.deepEqual(day.end(), []);
      assert.ok(tasks.length > 0);
      const late = tasks.filter((task) => {
        const again = sim.oracle.runsOf(task)
          .find(({ startedAt }) => startedAt > crashedAt);
        return (again?.startedAt ?? Infinity) - crashedAt > maxStillMs;
      });
      assert.deepEqual(late, []);
    });
  }
});
