/** Runs that an endpoint lists although its owner has given them up. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

describe("an endpoint whose runs its owner has given up", () => {
  let sim: BatchSimulation;

  beforeEach(async () => {
    sim = await settledSimulation({ workFactor: 4, hostsPerPool: 1 });
    const runner = new ActionRunner(sim);
    await runner.perform({ kind: "submit", job: "wide", pool: 0 });
    await sim.advance(600);
  });

  afterEach(() => endSimulation(sim));

  // Guards against TWICE: runs that an endpoint listed but its owner did not
  // track were started again at the same endpoint while they went on.
  it("has them adopted, not started again, when it lists them", async () => {
    const info = sim.hosts[busyHosts(sim)[0]].endpoint?.info;
    assert.ok(info !== undefined);
    const key = { table: "registrations", partition: "", key: info.id };
    sim.store.write(key, JSON.stringify({ ...info, life: info.life - 1_000 }));
    await sim.advance(400);
    sim.store.write(key, JSON.stringify(info));
    await sim.advance(6_000);
    assert.deepEqual(sim.oracle.violations, []);
  });
});
