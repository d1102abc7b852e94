/** Rows of other writers under the id of an endpoint whose shard is taken over. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { ForeignRowKind } from "../../sim/model_registrations.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Time after which no lease lasts from before the first takeover, in ms. */
const earlierLeasesMs = 20_000;

/** Time after which the starts of the tasks are acknowledged in the store, in ms. */
const acknowledgedMs = 4_000;

describe("a takeover while another writer's row is under an endpoint's id", () => {
  /** Plays it with a row that lasts for `rowMs`; returns the violations. */
  async function play(
    kind: ForeignRowKind,
    rowMs: number,
  ): Promise<readonly string[]> {
    const sim = await settledSimulation({ workFactor: 40 });
    await sim.advance(earlierLeasesMs);
    const submit = { kind: "submit", job: "wide", pool: 0 } as const;
    await new ActionRunner(sim).perform(submit);
    await sim.advance(acknowledgedMs);
    const [host, other] = busyHosts(sim);
    sim.overwriteRegistration(host, other, kind, rowMs);
    await sim.advance(100);
    sim.killEntry(sim.ownerOf("quotes") ?? "");
    await sim.advance(12_000);
    endSimulation(sim);
    return sim.oracle.violations;
  }

  // Guards against TWICE: the next owner opened the endpoint's session for the
  // life in that row, and when the endpoint answered with its own, it gave up the
  // runs that this life had acknowledged.
  for (const kind of ["newer-life", "older-life"] as const) {
    it(`starts no second run of its tasks, row of the kind ${kind}`, async () => {
      assert.deepEqual(await play(kind, 6_000), []);
    });
  }
});
