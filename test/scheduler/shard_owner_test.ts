/** Tests of a shard owner that takes a shard over. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Err } from "ts-results";
import { makeJob } from "../../sim/jobs.ts";
import { ModelStore } from "../../sim/model_store.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import {
  encodeProgressRow,
  inboxKey,
  initialProgress,
  type JobSpec,
  progressKey,
  taskAt,
} from "../../src/batch/index.ts";
import { delay } from "../../src/clock/index.ts";
import {
  EndpointRegistry,
  type HoldOutcome,
  type RunningTask,
  type TaskOrders,
} from "../../src/endpoint/index.ts";
import { ShardOwner } from "../../src/scheduler/index.ts";
import type { Store } from "../../src/store/index.ts";
import { acquireLease } from "../cluster/acquire_lease.ts";
import { endpoint } from "./sessions.ts";

const shard = "quotes";

/** Time that a read without an answer takes, in ms. */
const readTimeoutMs = 1_800;

/** Time that a hold takes, in ms. */
const holdMs = 100;

const unused = () => Promise.reject(new Error("not used"));

/** Orders of which none is expected. */
const noOrders: TaskOrders = {
  start: unused,
  stop: unused,
  pace: unused,
  hold: unused,
  endIncarnation: () => {},
};

/** A shard, and what its owner meets. */
interface OwnerSetting {
  readonly clock: VirtualClock;
  /** Jobs in the inbox. */
  readonly jobs: readonly JobSpec[];
  /** Ids of the registered endpoints. */
  readonly endpoints: readonly string[];
  readonly orders: Partial<TaskOrders>;
  /** The store as the owner sees it. */
  readonly wrapStore?: (store: Store) => Store;
  readonly onCrash?: (actor: string, err: unknown) => void;
}

/** Creates the owner of a shard with a lease; it is not started. */
async function createOwner(setting: OwnerSetting) {
  const { clock, jobs, endpoints, orders } = setting;
  const { wrapStore = (store) => store } = setting;
  const { onCrash = (_, err) => assert.fail(String(err)) } = setting;
  const model = new ModelStore(clock, () => 1);
  const store = model.connect("a", new ProcessClock(clock));
  for (const job of jobs) {
    model.write(inboxKey(shard, job.id), JSON.stringify(job));
  }
  const lease = await advanceUntil(
    clock,
    acquireLease(store, clock, shard, "a"),
  );
  const registry = new EndpointRegistry();
  registry.reset(endpoints.map((id) => endpoint(id, { pool: shard })));
  const owner = new ShardOwner({
    shard,
    lease,
    previous: { state: "ended" },
    areHeartbeatsLate: () => false,
    store: wrapStore(store),
    orders: { ...noOrders, ...orders },
    catalog: { current: undefined },
    advisor: { advise: unused },
    registry,
    clock,
    log: { decision: () => {} },
    vacating: () => new Map(),
    plannedVacates: () => new Set(),
    refreshVacating: () => Promise.resolve(true),
    onCrash,
    onLost: () => assert.fail("lost"),
  });
  return { model, owner };
}

/** Answers a hold after a while with the running tasks. */
async function answerHold(
  clock: VirtualClock,
  running: readonly RunningTask[],
): Promise<HoldOutcome> {
  await new Promise<void>((done) => clock.after(holdMs, done));
  const lists = {
    clockMs: clock.now(),
    life: 7,
    running,
    ended: [],
    hasMoreEnds: false,
  };
  return { kind: "lists", lists };
}

describe("ShardOwner.start", () => {
  describe("when every second read has no answer", () => {
    // Guards against jobs that stand still after a takeover: one read without
    // an answer made the owner drop the shard, and the next owner began anew.
    it("repeats these reads, keeps its lease and serves the jobs", async () => {
      const clock = new VirtualClock();
      const jobs = [1, 2, 3].map((n) => makeJob(n, "single", shard, 0));
      let reads = 0;
      const wrapStore = (store: Store): Store => ({
        ...store,
        range: async (query) => {
          if (reads++ % 2 === 1) return await store.range(query);
          await new Promise<void>((done) => clock.after(readTimeoutMs, done));
          return Err({ kind: "unknown", message: "no answer" });
        },
      });
      const { model, owner } = await createOwner({
        clock,
        jobs,
        endpoints: [],
        orders: {},
        wrapStore,
      });
      for (const job of jobs) {
        const value = encodeProgressRow(job, initialProgress, job.id);
        model.write(progressKey(shard, job.id), value);
      }
      const commits = model.putCount("owner");
      assert.equal(await advanceUntil(clock, owner.start()), true);
      assert.deepEqual(
        [...owner.jobs.byId.keys()].sort(),
        jobs.map((job) => job.id).sort(),
      );
      assert.ok(model.putCount("owner") > commits, "the lease was not renewed");
      owner.stop();
    });
  });
});

describe("ShardOwner.isQuiet", () => {
  // Guards against jobs that stand still while entries are busy: an owner that
  // had read nothing yet counted as without work and was released for balance,
  // time and again, and each next one began to read anew.
  it("does not hold before the stored state has been read", async () => {
    const clock = new VirtualClock();
    const { owner } = await createOwner({
      clock,
      jobs: [makeJob(1, "single", shard, 0)],
      endpoints: [],
      orders: {},
    });
    const started = owner.start();
    assert.equal(owner.isQuiet, false);
    assert.equal(await advanceUntil(clock, started), true);
    owner.stop();
  });

  it("holds for a shard without work", async () => {
    const clock = new VirtualClock();
    const { owner } = await createOwner({
      clock,
      jobs: [],
      endpoints: [],
      orders: {},
    });
    assert.equal(await advanceUntil(clock, owner.start()), true);
    assert.equal(owner.isQuiet, true);
    owner.stop();
  });
});

describe("ShardOwner", () => {
  describe("when an endpoint lists a run of a waiting task", () => {
    // Guards against TWICE: an owner stopped such a run and started its task
    // again while the run was still in progress.
    it("adopts the run and sends no order about its task", async () => {
      const clock = new VirtualClock();
      const job = makeJob(1, "single", shard, 0);
      const task = `${job.id}.0.0.0`;
      const running = [
        { task, run: 3, checkpoint: "", percent: 40, load: undefined },
      ];
      const sent: string[] = [];
      const record = (kind: string) => () => {
        sent.push(kind);
        return Promise.resolve({ kind: "done", clockMs: 0 } as const);
      };
      const { owner } = await createOwner({
        clock,
        jobs: [job],
        endpoints: ["e"],
        orders: {
          start: record("start"),
          stop: record("stop"),
          pace: record("pace"),
          hold: () => answerHold(clock, running),
        },
      });
      assert.equal(await advanceUntil(clock, owner.start()), true);
      await advanceUntil(clock, delay(clock, 1_000));
      const tracked = owner.jobs.byId.get(job.id);
      const ref = { occurrence: 0, step: 0, index: 0 };
      const placement = tracked && taskAt(tracked.progress, ref)?.placement;
      const adopted = { run: 3, endpoint: "e", life: 7, isAcknowledged: true };
      assert.deepEqual(placement, adopted);
      assert.deepEqual(sent, []);
      owner.stop();
    });
  });

  describe("when the calls to one of two endpoints throw", () => {
    // Guards against processes that end by themselves: an error in the loop of
    // one endpoint was not caught anywhere.
    it("goes on with the other, and reports the error", async () => {
      const clock = new VirtualClock();
      const started: string[] = [];
      const crashed: string[] = [];
      const done = () => Promise.resolve({ kind: "done", clockMs: 0 } as const);
      const { owner } = await createOwner({
        clock,
        jobs: [makeJob(1, "single", shard, 0)],
        endpoints: ["bad", "good"],
        orders: {
          start: ({ id }) => {
            started.push(id);
            return done();
          },
          stop: done,
          hold: ({ id }) =>
            id === "bad"
              ? Promise.reject(new Error("broken"))
              : answerHold(clock, []),
        },
        onCrash: (actor) => crashed.push(actor),
      });
      assert.equal(await advanceUntil(clock, owner.start()), true);
      await advanceUntil(clock, delay(clock, 1_000));
      assert.deepEqual([...new Set(started)], ["good"]);
      assert.deepEqual(crashed, ["endpoint bad"]);
      owner.stop();
    });
  });
});

/** Advances the clock until a promise settles, for 30 s at most. */
async function advanceUntil<T>(
  clock: VirtualClock,
  promise: Promise<T>,
): Promise<T> {
  let isSettled = false;
  promise.finally(() => {
    isSettled = true;
  });
  for (let ms = 0; ms < 30_000 && !isSettled; ms += 10) {
    await clock.advance(10);
    await clock.flush();
  }
  assert.ok(isSettled, "not settled within 30 s");
  return await promise;
}
