/** Fixed scenarios without disturbances, or with a single kind of them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Action } from "../../sim/actions.ts";
import { runSimulation } from "./run_simulation.ts";

/** Submissions of short jobs, 300 ms apart. */
function submitJobs(count: number): Action[] {
  return Array.from({ length: count }, (_, i): Action[] => [
    { kind: "submit", job: i % 3 === 0 ? "wide" : "chain", pool: i },
    { kind: "wait", ms: 300 },
  ]).flat();
}

const longRunningJobs: readonly Action[] = [
  { kind: "submit", job: "lasting", pool: 0 },
  { kind: "submit", job: "lasting", pool: 1 },
  { kind: "wait", ms: 2_000 },
];

/** Runs the actions; fails on a violation, or if no run has succeeded. */
async function expectNoViolations(actions: readonly Action[]): Promise<void> {
  const { violations, sim } = await runSimulation(1, actions);
  assert.deepEqual(violations, []);
  assert.ok(sim.oracle.counts.done > 0);
}

describe("the batch simulation", () => {
  describe("without disturbances", () => {
    it("completes every job", () => expectNoViolations(submitJobs(12)));

    it("keeps long-running tasks available", () =>
      expectNoViolations([...longRunningJobs, ...submitJobs(4)]));

    it("fails a job whose task fails in every attempt", async () => {
      const { violations, sim } = await runSimulation(1, [
        { kind: "submit", job: "poison", pool: 0 },
        { kind: "wait", ms: 8_000 },
      ]);
      assert.deepEqual(violations, []);
      assert.equal(sim.oracle.counts.failed, 3);
    });
  });

  describe("when a load surge exceeds the capacity of a pool", () => {
    it("moves hosts to the pool", async () => {
      const surge = Array.from({ length: 12 }, (): Action => ({
        kind: "submit",
        job: "wide",
        pool: 0,
      }));
      const { violations, sim } = await runSimulation(1, [
        ...surge,
        { kind: "wait", ms: 10_000 },
      ]);
      assert.deepEqual(violations, []);
      assert.ok(sim.oracle.counts.hostOrders > 0);
    });
  });

  describe("during a wave", () => {
    it("takes each host down once and respects maxUnavailable", async () => {
      const { violations, sim } = await runSimulation(1, [
        ...longRunningJobs,
        { kind: "wave", hosts: 10 },
        ...submitJobs(10),
        { kind: "wait", ms: 30_000 },
      ]);
      assert.deepEqual(violations, []);
      assert.equal(sim.waveStates.get("1"), "completed");
    });
  });

  describe("when a job is cancelled while its shard has no owner", () => {
    it("stops its tasks once the shard has a new owner", () =>
      expectNoViolations([
        ...submitJobs(2),
        ...longRunningJobs,
        { kind: "kill", entry: 0, downMs: 5_000 },
        { kind: "kill", entry: 1, downMs: 5_000 },
        { kind: "wait", ms: 100 },
        { kind: "cancel", job: 2 },
        { kind: "cancel", job: 3 },
        { kind: "wait", ms: 8_000 },
      ]));
  });

  describe("when all entries are killed at once", () => {
    it("recovers from the stored rows and the endpoints' lists", () =>
      expectNoViolations([
        ...longRunningJobs,
        ...submitJobs(4),
        { kind: "kill", entry: 0, downMs: 1_000 },
        { kind: "kill", entry: 1, downMs: 1_000 },
        { kind: "kill", entry: 2, downMs: 1_000 },
        { kind: "wait", ms: 6_000 },
      ]));
  });

  describe("when an endpoint is disconnected but keeps running", () => {
    it("starts its tasks elsewhere only after its lease is over", () =>
      expectNoViolations([
        ...submitJobs(4),
        { kind: "cut", host: 0, downMs: 12_000 },
        { kind: "cut", host: 1, downMs: 12_000 },
        { kind: "wait", ms: 14_000 },
      ]));
  });
});
