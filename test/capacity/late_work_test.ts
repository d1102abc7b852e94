/** Tests which endpoints a pool keeps for late work that nobody else's needs. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeJob, plainStep } from "../../sim/jobs.ts";
import { VirtualClock } from "../../sim/virtual_clock.ts";
import { initialProgress, openOccurrences } from "../../src/batch/index.ts";
import { DemandReporter } from "../../src/capacity/index.ts";
import { poolEndpoint } from "./pool_endpoints.ts";

const pool = "quotes";

/** Interval of the reports, in ms. */
const reportIntervalMs = 100;

/** Time until a report is stored, in ms. */
const storeMs = 20;

/** Twelve endpoints of 16 cores without tasks. */
const endpoints = Array.from(
  { length: 12 },
  (_, i) =>
    poolEndpoint(`e${i}`, {
      capacity: { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 },
    }),
);

/** A job whose only task waits. */
function waitingJob(n: number) {
  const spec = { ...makeJob(n, "single", pool, 0), steps: [plainStep(1, [])] };
  return { spec, progress: openOccurrences(initialProgress, spec, 1) };
}

/** Reports a pool of late jobs again and again, and looks at it each time. */
async function reportLateJobs(
  count: number,
  ms: number,
  look: (reporter: DemandReporter, now: number) => void,
): Promise<void> {
  const clock = new VirtualClock();
  const reporter = new DemandReporter({
    shard: pool,
    clock,
    log: { decision: () => {} },
    runTimes: { expectedMs: () => 1_000 },
    createLateFilter: () => () => true,
    write: (_, onStored) => clock.after(storeMs, onStored),
  });
  const jobs = Array.from({ length: count }, (_, i) => waitingJob(i));
  const knownHosts = [endpoints[0].capacity];
  for (let passed = 0; passed < ms; passed += reportIntervalMs) {
    reporter.report({ jobs, endpoints, knownHosts, minHosts: 0, usedShare: 0 });
    look(reporter, clock.now());
    await clock.advance(reportIntervalMs);
    await clock.flush();
  }
}

describe("the report of a pool with late jobs", () => {
  describe("when no other pool takes the hosts that it offers", () => {
    // Guards against LOST: the offers were withdrawn, and made again before the
    // endpoints could get a task, over and over.
    it("frees the endpoints for tasks, also for those that last", async () => {
      let forAnyMs = 0;
      let forProtectedMs = 0;
      await reportLateJobs(150, 5_000, ({ offers }, now) => {
        const open = endpoints.filter(({ id }) => !offers.isClosed(id, now));
        const isFull = open.length === endpoints.length;
        if (isFull) forAnyMs += reportIntervalMs;
        const isSafe = open.every(({ id }) => !offers.mayBeMoved(id, now));
        if (isFull && isSafe) forProtectedMs += reportIntervalMs;
      });
      assert.ok(forAnyMs >= 2_000, `${forAnyMs} ms for any tasks`);
      assert.ok(forProtectedMs >= 500, `${forProtectedMs} ms for those`);
    });

    it("offers them again later, as another pool may need them", async () => {
      let offeredMs = 0;
      await reportLateJobs(150, 20_000, ({ offers }) => {
        if (offers.offered.length > 0) offeredMs += reportIntervalMs;
      });
      assert.ok(offeredMs >= 3_000, `${offeredMs} ms`);
    });
  });
});
