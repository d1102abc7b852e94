/** Registrations that other writers put under the id of a living endpoint. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { foreignRowKinds } from "../../sim/model_registrations.ts";
import { inFlightViolations } from "./in_flight_orders.ts";

/** Time for which the row differs from the endpoint's own, in ms. */
const rowMs = 700;

/** Time from the start of the tasks to the disturbance, in ms. */
const startedMs = 900;

describe("a row of another writer under a living endpoint's id", () => {
  for (const row of foreignRowKinds) {
    describe(`of the kind ${row}`, () => {
      // Guards against TWICE: the session of the endpoint ended, all its runs
      // counted as lost, and their tasks were placed again at once.
      it("starts no second run of tasks whose start is in flight", async () => {
        const violations = await inFlightViolations({
          workFactor: 2,
          hostsPerPool: 4,
          disturb: (runner, host) =>
            runner.perform({
              kind: "foreign-row",
              row,
              host,
              other: host + 1,
              ms: rowMs,
            }),
        });
        assert.deepEqual(violations, []);
      });

      it("starts no second run of running tasks", async () => {
        const violations = await inFlightViolations({
          workFactor: 4,
          hostsPerPool: 4,
          disturb: async (runner, host, sim) => {
            await sim.advance(startedMs);
            await runner.perform({
              kind: "foreign-row",
              row,
              host,
              other: host + 1,
              ms: rowMs,
            });
          },
        });
        assert.deepEqual(violations, []);
      });
    });
  }
});
