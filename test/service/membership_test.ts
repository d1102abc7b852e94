/** Tests the heartbeats of an entry. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { Err } from "ts-results";
import { ModelStore } from "../../sim/model_store.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import { Membership } from "../../src/service/membership.ts";
import type { Store, StoreTransaction } from "../../src/store/index.ts";

describe("the heartbeats of an entry", () => {
  let clock: VirtualClock;
  let model: ModelStore;
  let store: Store;
  /** Transactions without an answer, which the store may perform late. */
  let unanswered: StoreTransaction[];
  let isAnswering: boolean;

  beforeEach(() => {
    clock = new VirtualClock();
    model = new ModelStore(clock, () => 1);
    store = model.connect("e", new ProcessClock(clock));
    unanswered = [];
    isAnswering = true;
  });

  /** Awaits a call of the store. */
  async function after<T>(call: Promise<T>): Promise<T> {
    for (let ms = 0; ms < 100; ms += 2) {
      await clock.advance(2);
      await clock.flush();
    }
    return await call;
  }

  /** Membership of a process of the entry. */
  function start(boot: string): Membership {
    const losing: Store = {
      commit: (tx) => {
        if (isAnswering) return store.commit(tx);
        unanswered.push(tx);
        return Promise.resolve(Err({ kind: "unknown", message: "" }));
      },
      feed: (table, version, waitMs) => store.feed(table, version, waitMs),
      range: (query) => store.range(query),
    };
    return new Membership({
      self: { entry: "e", boot, zone: "z", cores: 1 },
      store: losing,
      clock,
      log: { decision: () => {} },
      shards: () => [],
      isAcquiring: () => false,
      onStoreAnswer: () => {},
    });
  }

  /** Sends a heartbeat that has no answer. */
  async function loseHeartbeat(member: Membership): Promise<void> {
    isAnswering = false;
    await after(member.heartbeat());
    isAnswering = true;
  }

  /** Process that the row of the entry names; undefined without a row. */
  function bootInRow(): string | undefined {
    const [row] = model.table("members");
    return row && JSON.parse(row.value).boot;
  }

  // Guards against ONE and TWICE: a heartbeat of an earlier process replaced that
  // of the present one, which thus counted as ended, and was succeeded at once.
  it("have no effect if performed after the next process has sent one", async () => {
    const earlier = start("e#1");
    await after(earlier.heartbeat());
    await loseHeartbeat(earlier);
    await after(start("e#2").heartbeat());
    assert.equal(bootInRow(), "e#2");
    for (const tx of unanswered) await after(store.commit(tx));
    assert.equal(unanswered.length, 1);
    assert.equal(bootInRow(), "e#2");
  });

  it("go on after one whose answer was lost", async () => {
    const member = start("e#1");
    await after(member.heartbeat());
    await loseHeartbeat(member);
    for (const tx of unanswered) await after(store.commit(tx));
    const [before] = model.table("members");
    await after(member.heartbeat());
    const [row] = model.table("members");
    assert.ok(row.version > before.version);
  });

  it("go on after another entry has removed the row", async () => {
    const member = start("e#1");
    await after(member.heartbeat());
    const [row] = model.table("members");
    model.write(row, undefined);
    await after(member.heartbeat());
    assert.equal(bootInRow(), "e#1");
  });

  it("are late if none is confirmed for two intervals", async () => {
    const member = start("e#1");
    await after(member.heartbeat());
    assert.equal(member.areHeartbeatsLate, false);
    await loseHeartbeat(member);
    await clock.advance(1_000);
    assert.equal(member.areHeartbeatsLate, true);
  });
});
