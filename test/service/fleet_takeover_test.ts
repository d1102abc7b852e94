/** Tests that the orders of two owners of the fleet never meet. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { fleetShard } from "../../src/cluster/index.ts";
import { FleetOwner } from "../../src/upkeep/index.ts";
import { acquireLease } from "../cluster/acquire_lease.ts";
import { setUp } from "./single_entry.ts";

/** Pause between two iterations of the earlier owner, in ms. */
const iterationMs = 200;

/** Head starts of the earlier owner, so that its commits differ in phase, in ms. */
const headStartsMs = Array.from({ length: 13 }, (_, i) => i * 100);

/** Number of hosts; orders about them all take longer than the test. */
const hostsInWave = 1_000;

/** Time after which the store no longer serves the earlier owner, in ms. */
const servedMs = 1_000;

describe("an entry that takes the fleet from an owner without heartbeats", () => {
  for (const headStartMs of headStartsMs) {
    // Guards against ONE: the next owner began 600 ms after its takeover, however
    // old the earlier one's last commit was, which sent orders for up to 1.2 s.
    it(`lets its orders end, with a head start of ${headStartMs} ms`, async () => {
      const { clock, deps, model, connect, advance, start, run, orderTerms } =
        setUp([], hostsInWave);
      const store = connect("z");
      const leased = acquireLease(store, clock, fleetShard, "z");
      await advance(100);
      const lease = await leased;
      const owner = new FleetOwner({
        ...deps,
        entry: "z",
        lease,
        store,
        previous: { state: "ended" },
        areHeartbeatsLate: () => false,
      });
      const reconcile = async (): Promise<void> => {
        await owner.reconcile();
        if (!lease.isLost) clock.after(iterationMs, reconcile);
      };
      reconcile();
      await advance(headStartMs);
      clock.after(servedMs, () => model.setBehavior("z", "refuses"));
      await run(start(), 6_000);
      const ascending = [...orderTerms].sort((a, b) => a - b);
      assert.deepEqual(orderTerms, ascending);
      assert.deepEqual([...new Set(orderTerms)], [1, 2]);
    });
  }
});
