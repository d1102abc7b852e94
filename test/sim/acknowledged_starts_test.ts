/** How long the tasks of an endpoint wait that crashes with its owner. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { JobKind } from "../../sim/jobs.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Time after which no lease lasts from before the takeover, in ms. */
const earlierLeasesMs = 20_000;

/**
 * Longest time from the crash to the next start, in ms: the lease of a member,
 * the fallback of a claim, and the lease of a silent owner's task.
 */
const maxWaitMs = 1_350 + 1_000 + 8_400;

/**
 * Crashes an endpoint for good, and its owner, `runMs` after a job was
 * submitted. Returns the number of tasks that are running after `waitMs`.
 */
async function runningAfterCrash(
  kind: JobKind,
  runMs: number,
  waitMs: number,
): Promise<number> {
  const sim = await settledSimulation({ workFactor: 100 });
  await sim.advance(earlierLeasesMs);
  await new ActionRunner(sim).perform({ kind: "submit", job: kind, pool: 0 });
  await sim.advance(runMs);
  const [host] = busyHosts(sim);
  sim.crashHost(host, 60_000);
  sim.killEntry(sim.ownerOf("quotes") ?? "");
  await sim.advance(waitMs);
  const running = busyHosts(sim)
    .reduce((sum, i) => sum + (sim.hosts[i].endpoint?.runs.size ?? 0), 0);
  assert.deepEqual(sim.oracle.violations, []);
  endSimulation(sim);
  return running;
}

describe("a task whose endpoint crashes with its owner", () => {
  // Guards against LOST: the next owner reckoned with the longest lease for runs
  // whose start had long been acknowledged.
  it("waits no longer than its lease if it has run for a while", async () => {
    assert.equal(await runningAfterCrash("wide", 4_000, maxWaitMs), 8);
  });

  it("waits no longer than its lease if it lasts and has just begun", async () => {
    assert.equal(await runningAfterCrash("lasting", 2_600, maxWaitMs), 3);
  });
});
