/** Endpoints that restart under their id while orders are in flight. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { inFlightViolations } from "./in_flight_orders.ts";

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
