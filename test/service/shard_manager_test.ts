/** Tests how an entry takes over and releases shards. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err } from "ts-results";
import {
  ownerTable,
  ShardLease,
  silentOwnerEffectMs,
} from "../../src/cluster/index.ts";
import { endpoint } from "../scheduler/sessions.ts";
import { maxInheritedLeaseMs } from "../../src/sessions/index.ts";
import type { Store } from "../../src/store/index.ts";
import { hostCount, pool, setUp } from "./single_entry.ts";

describe("an entry that takes a shard from a silent owner", () => {
  // Guards against TWICE: the silent owner's leases outlast those of an owner
  // that has ended, so its runs were given up while they were in progress.
  it("still reckons with that owner while its own start repeats reads", async () => {
    const { deps, store, start, run, takeAsSilentEntry, poolTakings } = setUp();
    await takeAsSilentEntry();
    let failures = 20;
    const failing: Store = {
      commit: (tx) => store.commit(tx),
      feed: (table, after, waitMs) => store.feed(table, after, waitMs),
      range: (query) =>
        query.table === "progress" && failures-- > 0
          ? Promise.resolve(Err({ kind: "refused", message: "" }))
          : store.range(query),
    };
    Object.assign(deps, { store: failing });
    await run(start(), 5_000);
    assert.ok(failures < 0, "the reads were not repeated");
    assert.deepEqual(poolTakings(), ["silent"]);
  });

  // Guards against the same when the start is given up.
  it("takes it for ended again only after its leases have expired", async () => {
    const { clock, deps, store, start, run, takeAsSilentEntry, poolTakings } =
      setUp();
    await takeAsSilentEntry();
    const refusesUntil = clock.now() + silentOwnerEffectMs + 12_000;
    const failing: Store = {
      commit: (tx) => store.commit(tx),
      feed: (table, after, waitMs) => store.feed(table, after, waitMs),
      range: (query) =>
        query.table === "progress" && clock.now() < refusesUntil
          ? Promise.resolve(Err({ kind: "refused", message: "" }))
          : store.range(query),
    };
    Object.assign(deps, { store: failing });
    await run(start(), 30_000);
    assert.deepEqual(poolTakings(), ["silent", "ended"]);
    assert.ok(silentOwnerEffectMs > maxInheritedLeaseMs("silent"));
  });

  // Guards against the same when the confirmation of the lease is lost.
  it("still reckons with it after its own commit had no answer", async () => {
    const { deps, store, start, run, takeAsSilentEntry, poolTakings } = setUp();
    await takeAsSilentEntry();
    let lost = 1;
    const losing: Store = {
      commit: async (tx) => {
        const outcome = await store.commit(tx);
        const takes = tx.puts.some((p) =>
          p.table === ownerTable && p.partition === pool
        );
        return takes && lost-- > 0
          ? Err({ kind: "unknown", message: "no response" })
          : outcome;
      },
      feed: (table, after, waitMs) => store.feed(table, after, waitMs),
      range: (query) => store.range(query),
    };
    Object.assign(deps, { store: losing });
    await run(start(), 5_000);
    assert.deepEqual(poolTakings(), ["silent"]);
  });

  // Guards against the same when the next owner takes over soon after.
  it("leaves word of it to the next owner if it releases soon", async () => {
    const { start, run, advance, takeAsSilentEntry, poolTakings } = setUp();
    await takeAsSilentEntry();
    const first = start();
    await run(first, 3_000);
    first.release();
    await advance(500);
    await run(start(), 3_000);
    assert.deepEqual(poolTakings(), ["silent", "silent"]);
  });

  it("leaves word of it for longer than its leases last", () => {
    assert.ok(silentOwnerEffectMs > maxInheritedLeaseMs("silent"));
  });

  it("need not be reckoned with once its leases have expired", async () => {
    const { start, run, advance, takeAsSilentEntry, poolTakings } = setUp();
    await takeAsSilentEntry();
    const first = start();
    await run(first, 15_000);
    first.release();
    await advance(500);
    await run(start(), 3_000);
    assert.deepEqual(poolTakings(), ["silent", "ended"]);
  });
});

describe("an entry that releases the fleet", () => {
  // Guards against two senders of host orders (ONE): the orders of a wave went
  // on after the release, beside those of the next owner.
  it("sends no further order", async () => {
    const { start, run, advance, hostOrders } = setUp([]);
    const manager = start();
    while (hostOrders.length === 0) await run(manager, 450);
    manager.release();
    const sent = hostOrders.length;
    assert.ok(sent < hostCount);
    await advance(1_000);
    assert.equal(hostOrders.length, sent);
  });
});

describe("an entry that shuts down while it acquires a shard", () => {
  // Guards against a shard that nobody serves until its lease has expired.
  it("releases the shard", async () => {
    const { model, start, run, advance } = setUp();
    const manager = start();
    const owners = () =>
      model.table(ownerTable).map((r) => JSON.parse(r.value));
    while (owners().length === 0) {
      manager.refresh();
      for (let i = 0; i < 450 && owners().length === 0; i++) await advance(2);
    }
    manager.release();
    await advance(500);
    assert.deepEqual(owners().map((o) => o.boot), ["", ""]);
    await run(manager, 1_000);
    assert.deepEqual(owners().map((o) => o.boot), ["", ""]);
  });
});

describe("a pool that is named as the fleet's shard", () => {
  const named = [{ name: "fleet", standby: false }];

  /** Sets up an entry with this pool, which has one endpoint. */
  function setUpNamed() {
    const setting = setUp(named);
    setting.deps.registry.reset([endpoint("e1", { pool: "fleet" })]);
    return setting;
  }

  // Guards against LOST: both had one shard, which ran the fleet alone, so that
  // the pool's jobs were accepted and never started.
  it("has an owner beside the fleet's", async () => {
    const { start, run, hostOrders, heldEndpoints } = setUpNamed();
    await run(start(), 3_000);
    assert.deepEqual([...heldEndpoints], ["e1"]);
    assert.ok(hostOrders.length > 0);
  });

  // Guards against two senders of host orders (ONE) during an upgrade: earlier
  // releases hold the fleet by this row.
  it("leaves the fleet to an entry of an earlier release", async () => {
    const { model, clock, store, start, advance, hostOrders, heldEndpoints } =
      setUpNamed();
    const holder = { entry: "z", boot: "z#1" };
    const member = { ...holder, zone: "z", shards: ["fleet"], accepting: true };
    const row = { owner: undefined, version: 0 };
    const acquired = ShardLease.acquire(
      store,
      clock,
      "fleet",
      holder,
      row,
      "ended",
    );
    await advance(100);
    const lease = await acquired;
    const manager = start();
    for (let elapsed = 0; elapsed < 5_000; elapsed += 450) {
      const beat = JSON.stringify({ ...member, beat: elapsed });
      const key = { table: "members", partition: "members/0", key: "z" };
      model.write(key, beat);
      lease?.commit([], []);
      manager.refresh();
      await advance(450);
    }
    assert.deepEqual([...heldEndpoints], ["e1"]);
    assert.equal(lease?.isLost, false);
    assert.deepEqual(hostOrders, []);
  });
});
