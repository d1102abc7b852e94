/** Tests of group commit with a backlog larger than one transaction. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ModelStore } from "../../sim/model_store.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import { CommitQueue } from "../../src/scheduler/index.ts";
import { maxRowBytes, maxTransactionBytes } from "../../src/store/index.ts";
import { acquireLease } from "../cluster/acquire_lease.ts";

const shard = "s";

/** Creates a queue with `count` dirty rows of `bytes` bytes each. */
async function setUp(
  count: number,
  bytes: number,
  bytesOf: (key: string) => number = () => bytes,
) {
  const clock = new VirtualClock();
  const model = new ModelStore(clock, () => 1);
  const store = model.connect("a", new ProcessClock(clock));
  const acquired = acquireLease(store, clock, shard, "a");
  await clock.advance(100);
  await clock.advance(100);
  const lease = await acquired;
  const failures: string[] = [];
  const rejectedKeys: string[] = [];
  const dirty = new Set(Array.from({ length: count }, (_, i) => `job-${i}`));
  const rowOf = (key: string) => {
    const value = "x".repeat(bytesOf(key));
    return { table: "t", partition: shard, key, value };
  };
  const queue = new CommitQueue(
    lease,
    clock,
    { dirty, rowOf },
    {
      onFailure: (failure) => failures.push(failure.message),
      onRowRejected: ({ key }) => rejectedKeys.push(key),
    },
  );
  const advance = async (ms: number) => {
    for (let left = ms; left > 0; left -= 10) {
      await clock.advance(10);
      await clock.flush();
    }
  };
  return { queue, model, dirty, failures, rejectedKeys, advance };
}

describe("CommitQueue", () => {
  describe("with a backlog of dirty rows", () => {
    it("commits large rows in several transactions", async () => {
      const bytes = 20_000;
      const count = Math.ceil(3 * maxTransactionBytes / bytes);
      const { queue, model, failures, advance } = await setUp(count, bytes);
      let stored = 0;
      queue.whenCommitted(() => stored = model.table("t").length);
      await advance(1_000);
      assert.deepEqual(failures, []);
      assert.equal(stored, count);
    });

    it("runs an action before later dirty rows are committed", async () => {
      const { queue, dirty, advance } = await setUp(250, 10);
      let done = false;
      queue.whenCommitted(() => done = true);
      for (let i = 0; i < 60 && !done; i++) {
        for (let n = 0; n < 100; n++) dirty.add(`later-${i}-${n}`);
        await advance(10);
      }
      assert.ok(done);
      assert.ok(dirty.size > 100, `${dirty.size} rows are left`);
    });

    it("delays actions while commits fail", async () => {
      const { queue, model, advance } = await setUp(3, 10);
      let stored = -1;
      model.setBehavior("a", "refuses");
      queue.whenCommitted(() => stored = model.table("t").length);
      await advance(300);
      assert.equal(stored, -1);
      model.setBehavior("a", "serves");
      await advance(300);
      assert.equal(stored, 3);
    });

    it("merges changes of the same row into fewer writes", async () => {
      const rows = 60;
      const { queue, dirty, model, advance } = await setUp(rows, 100);
      const keys = [...dirty];
      let changes = 0;
      for (let ms = 0; ms < 1_000; ms += 10) {
        for (const key of keys) dirty.add(key);
        changes += keys.length;
        queue.flush();
        await advance(10);
      }
      const written = model.putCount("t");
      assert.ok(written < 0.4 * changes, `${written} rows, ${changes} changes`);
    });

    // Guards against LOST: a transaction with a row that the store does not
    // accept was repeated for ever, and no other row of the shard was stored.
    it("commits all rows but one that the store does not accept", async () => {
      const { queue, dirty, model, rejectedKeys, advance } = await setUp(
        250,
        10,
        (key) => key === "job-60" ? maxRowBytes + 1 : 10,
      );
      let storedLater = 0;
      queue.whenCommitted(() => storedLater = model.table("t").length);
      await advance(5_000);
      assert.deepEqual(rejectedKeys, ["job-60"]);
      assert.equal(storedLater, 249);
      assert.equal(dirty.size, 0);
    });

    // Guards against LOST: a store that accepts nothing for a while would have had
    // every job given up.
    it("gives up no row while the store accepts none", async () => {
      const { queue, model, rejectedKeys, advance } = await setUp(20, 10);
      model.setBehavior("a", "rejects");
      queue.flush();
      await advance(5_000);
      assert.deepEqual(rejectedKeys, []);
      model.setBehavior("a", "serves");
      await advance(2_000);
      assert.equal(model.table("t").length, 20);
    });

    // Guards against LOST: an intermediary that answers once for the store.
    it("gives up no row for a single answer", async () => {
      const { queue, model, rejectedKeys, advance } = await setUp(1, 10);
      model.setBehavior("a", "rejects");
      queue.flush();
      await advance(50);
      model.setBehavior("a", "serves");
      await advance(2_000);
      assert.deepEqual(rejectedKeys, []);
      assert.equal(model.table("t").length, 1);
    });

    it("gives up a row of another partition", async () => {
      const { queue, model, rejectedKeys, advance } = await setUp(3, 10);
      queue.remove({ table: "t", partition: "another", key: "gone" });
      await advance(5_000);
      assert.deepEqual(rejectedKeys, ["gone"]);
      assert.equal(model.table("t").length, 3);
    });

    it("gives up a report that the store does not accept", async () => {
      const { queue, model, rejectedKeys, advance } = await setUp(3, 10);
      const report = { table: "t", partition: shard, key: "report" };
      queue.put({ ...report, value: "x".repeat(maxRowBytes + 1) });
      await advance(5_000);
      assert.deepEqual(rejectedKeys, ["report"]);
      assert.equal(model.table("t").length, 3);
    });

    it("commits many small rows in several transactions", async () => {
      const { queue, model, failures, advance } = await setUp(250, 10);
      let stored = 0;
      queue.whenCommitted(() => stored = model.table("t").length);
      await advance(1_000);
      assert.deepEqual(failures, []);
      assert.equal(stored, 250);
    });
  });
});
