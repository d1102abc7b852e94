/** Runs on endpoints that an owner takes for restarted although they live. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import type { TaskEndpoint } from "../../src/endpoint/index.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

describe("an endpoint that goes on running its tasks", () => {
  let sim: BatchSimulation;

  /** Writes the registration of an endpoint with some fields replaced. */
  function register(info: TaskEndpoint, changes: Partial<TaskEndpoint>): void {
    const key = { table: "registrations", partition: "", key: info.id };
    sim.store.write(key, JSON.stringify({ ...info, ...changes }));
  }

  beforeEach(async () => {
    sim = await settledSimulation({ workFactor: 12 });
    const runner = new ActionRunner(sim);
    for (let i = 0; i < 2; i++) {
      await runner.perform({ kind: "submit", job: "wide", pool: 0 });
    }
    // The endpoints have listed the runs by then.
    await sim.advance(2_500);
  });

  afterEach(() => endSimulation(sim));

  // Guards against TWICE: a registration with another incarnation ended the
  // session of a living endpoint, and its tasks were started again while their
  // runs went on.
  for (const difference of [-1_000, 1_000]) {
    it(`keeps its runs when its registration is off by ${difference} ms`, async () => {
      const infos = busyHosts(sim).map((i) => sim.hosts[i].endpoint?.info);
      for (const info of infos) {
        if (info !== undefined) {
          register(info, { life: info.life + difference });
        }
      }
      await sim.advance(1_400);
      for (const info of infos) if (info !== undefined) register(info, {});
      await sim.advance(10_000);
      assert.deepEqual(sim.oracle.violations, []);
    });
  }
});
