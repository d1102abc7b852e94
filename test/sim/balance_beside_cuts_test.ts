/** Releases of shards for balance while endpoints of the pool are cut off. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Time for which endpoints are cut off, in ms: longer than a lease. */
const cutMs = 20_000;

/**
 * Time before the release for balance at which they are cut off, in ms: longer
 * than a hold takes to time out.
 */
const beforeReleaseMs = 3_000;

/**
 * Longest time from a cut until the tasks start elsewhere, in ms: a lease of 5 s
 * with its drift and delivery, two passes of the owner and the start.
 */
const maxRestartMs = 6_000;

/**
 * The pool that is released: the one whose owner lives all the time. The other
 * has just been taken over, so that the bound of its leases is another.
 */
const releasedPool = "quotes";

/** Time after which no lease lasts from before the first takeover, in ms. */
const earlierLeasesMs = 15_000;

/** Longest time until an entry that is back gets a shard, in ms. */
const maxBalanceMs = 20_000;

/** Time of the first release for balance, in ms; undefined for none. */
function releasedAt(sim: BatchSimulation): number | undefined {
  const line = sim.log.find((each) => each.includes('"reason":"balance"'));
  return line === undefined ? undefined : Number(line.split(" ")[0]) * 1_000;
}

/** Starts long tasks in both pools while one of two entries is restarted. */
async function beginDay(): Promise<BatchSimulation> {
  const sim = await settledSimulation({ entries: 2, workFactor: 60 });
  await sim.advance(earlierLeasesMs);
  const runner = new ActionRunner(sim);
  for (const pool of [0, 1]) {
    await runner.perform({ kind: "submit", job: "single", pool });
    await runner.perform({ kind: "submit", job: "single", pool });
  }
  await sim.advance(1_000);
  await runner.perform({ kind: "kill", entry: 1, downMs: 6_000 });
  return sim;
}

/** Time at which the undisturbed day releases a shard, in ms from its begin. */
async function findRelease(): Promise<number> {
  const sim = await beginDay();
  const beganAt = sim.clock.now();
  await sim.advance(maxBalanceMs);
  endSimulation(sim);
  const at = releasedAt(sim);
  assert.ok(at !== undefined, "no shard was released");
  return at - beganAt;
}

describe("a release for balance", () => {
  describe("when endpoints with runs have just been cut off", () => {
    // Guards against LOST: the next owner counted the lease of these runs from its
    // takeover, so that their tasks waited twice.
    it("waits until their tasks have started elsewhere", async () => {
      const releaseMs = await findRelease();
      const sim = await beginDay();
      await sim.advance(releaseMs - beforeReleaseMs);
      assert.equal(releasedAt(sim), undefined);
      const cut = busyHosts(sim)
        .filter((i) => sim.hosts[i].pool === releasedPool);
      const cutTasks = cut.flatMap((
        i,
      ) => [...sim.hosts[i].endpoint?.runs.values() ?? []]);
      assert.ok(cutTasks.length > 0, "nothing runs");
      for (const host of cut) sim.isolateHost(host, cutMs);
      const cutAt = sim.clock.now();
      await sim.advance(maxRestartMs);
      for (const { task } of cutTasks) {
        const started = sim.oracle.runsOf(task).at(-1)?.startedAt ?? 0;
        assert.ok(started > cutAt, `${task} has not started elsewhere`);
      }
      await sim.advance(maxBalanceMs);
      assert.ok((releasedAt(sim) ?? 0) > cutAt, "no shard was released later");
      assert.deepEqual(sim.oracle.violations, []);
      endSimulation(sim);
    });
  });
});
