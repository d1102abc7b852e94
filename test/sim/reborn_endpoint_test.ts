/** Endpoints that restart under their id while orders are in flight. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import { inFlightViolations } from "./in_flight_orders.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Time for which the endpoint is down, in ms. */
const downMs = 100;

describe("an endpoint that restarts while starts are in flight", () => {
  for (const workFactor of [0.5, 2, 8]) {
    describe(`for tasks of about ${workFactor * 600} ms`, () => {
      // Guards against TWICE: the starts in flight counted as lost with the
      // earlier incarnation, and the next one carried them out after the tasks
      // had been placed again.
      it("runs no task twice on the only endpoint", async () => {
        const violations = await inFlightViolations({
          workFactor,
          hostsPerPool: 1,
          disturb: (runner, host) =>
            runner.perform({ kind: "restart", host, downMs }),
        });
        assert.deepEqual(violations, []);
      });

      it("runs no task twice when there are other endpoints", async () => {
        const violations = await inFlightViolations({
          workFactor,
          hostsPerPool: 4,
          disturb: (runner, host) =>
            runner.perform({ kind: "restart", host, downMs }),
        });
        assert.deepEqual(violations, []);
      });
    });
  }
});

describe("an endpoint that is cut off some time after it has restarted", () => {
  /** Plays a day with long tasks and delayed orders; returns its violations. */
  async function play(seed: number): Promise<readonly string[]> {
    const sim = await settledSimulation({
      seed,
      entries: 1,
      hostsPerPool: 4,
      workFactor: 16,
    });
    const runner = new ActionRunner(sim);
    sim.maxOrderDelayMs = 800;
    for (let i = 0; i < 2; i++) {
      await runner.perform({ kind: "submit", job: "wide", pool: 0 });
    }
    await sim.advance(4_000);
    const host = busyHosts(sim)[0];
    runner.perform({ kind: "restart", host, downMs });
    await sim.advance(2_200);
    runner.perform({ kind: "cut", host, downMs: 9_000 });
    await sim.advance(15_000);
    endSimulation(sim);
    return sim.oracle.violations;
  }

  // Guards against TWICE: a hold of the earlier incarnation extended the lease of
  // the next one beyond the bound that the owner assumed for it.
  for (const seed of [5, 7, 8]) {
    it(`has no task run elsewhere before its lease is over, seed ${seed}`, async () => {
      assert.deepEqual(await play(seed), []);
    });
  }
});
