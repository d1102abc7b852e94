/** The model of endpoints: what an incarnation accepts, lists and forgets. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import { ModelEndpoint } from "../../sim/model_endpoint.ts";
import { ModelNetwork, ModelOrders } from "../../sim/model_orders.ts";
import { ModelGangs } from "../../sim/model_gangs.ts";
import { BatchOracle } from "../../sim/oracle.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";

/** Run time of the tasks, in ms. */
const durationMs = 100;

/** Run time of tasks that outlast the longest lease, in ms. */
const longDurationMs = 60_000;

/** Longest lease that an endpoint grants, in ms. */
const maxLeaseMs = 10_000;

/** Id that all incarnations of the endpoint have. */
const id = "endpoint-1";

const address = "host-1";

/** Most ends that a hold lists. */
const maxListedEnds = 500;

describe("a modelled endpoint", () => {
  let clock: VirtualClock;
  let network: ModelNetwork;
  let orders: ModelOrders;
  let endpoint: ModelEndpoint;

  function boot(taskMs = durationMs): void {
    const capacity = { cpuMillis: 1_000_000, memoryMb: 0, gpus: 0 };
    const placeless = { pool: "", zone: "", labels: [], host: "" };
    const life = clock.wall();
    const info = { ...placeless, id, address, life, capacity, draining: false };
    const step = plainStep(1, []);
    const model = {
      step,
      durationMs: taskMs,
      fails: () => false,
      admits: () => true,
    };
    endpoint = new ModelEndpoint(info, {
      clock,
      oracle: new BatchOracle(() => clock.now(), () => false),
      clockDrift: 0,
      gangs: new ModelGangs(clock),
      modelOf: () => model,
    });
  }

  function startOrder(task: string, run: number, leaseUntil = 5_000) {
    const empty = { payload: "", checkpoint: "", ticket: "" };
    return { ...empty, term: 1, task, run, leaseUntil };
  }

  /** The answer to a hold, sent now, that asks for no wait. */
  async function listsNow(recordedSeq = 0) {
    const order = { term: 1, recordedSeq, waitMs: 0 };
    const answer = orders.hold(endpoint.info, order);
    await clock.advance(10);
    const outcome = await answer;
    assert.equal(outcome.kind, "lists");
    return outcome.kind === "lists" ? outcome.lists : assert.fail();
  }

  beforeEach(() => {
    clock = new VirtualClock();
    network = new ModelNetwork(
      clock,
      () => 0.5,
      () => endpoint.isUp ? endpoint : undefined,
    );
    orders = new ModelOrders(new ProcessClock(clock), network);
    boot();
  });

  describe("that has a run in progress", () => {
    // Guards against a blind spot of the simulation: the protocol rejects only
    // runs up to one that was stopped or has ended, so a start that arrives
    // after that of a higher run gives two runs at once.
    it("carries out the start of a lower run", () => {
      endpoint.start(startOrder("t", 2));
      assert.equal(endpoint.start(startOrder("t", 1)).kind, "done");
      assert.equal(endpoint.runs.size, 2);
    });

    it("rejects the start of a lower run once the higher one is over", async () => {
      endpoint.start(startOrder("t", 2));
      await clock.advance(durationMs);
      assert.deepEqual(endpoint.start(startOrder("t", 1)), {
        kind: "rejected",
        reason: "stale-run",
      });
    });

    it("rejects the start of a run that was stopped before it began", () => {
      endpoint.stop({ term: 1, task: "t", run: 1 }, false);
      assert.equal(endpoint.start(startOrder("t", 1)).kind, "rejected");
    });
  });

  // Guards against a blind spot of the simulation: an owner that reads only the
  // first answer would never miss an end.
  it("lists 500 ends at a time", async () => {
    for (let i = 0; i <= maxListedEnds; i++) {
      endpoint.start(startOrder(`t${i}`, 1));
    }
    await clock.advance(durationMs);
    const first = await listsNow();
    assert.equal(first.ended.length, maxListedEnds);
    const next = await listsNow(maxListedEnds);
    assert.deepEqual(next.ended.map((e) => e.seq), [maxListedEnds + 1]);
  });

  describe("that restarts under its id", () => {
    // Guards against a blind spot of the simulation: an order in flight was
    // dropped when the endpoint restarted, although nothing but its id is
    // checked.
    it("carries out a start that was sent before", async () => {
      network.maxExtraDelayMs = 400;
      const answer = orders.start(endpoint.info, startOrder("t", 1));
      await clock.advance(100);
      endpoint.crash();
      boot();
      await clock.advance(500);
      assert.equal((await answer).kind, "done");
      network.maxExtraDelayMs = 0;
      assert.deepEqual((await listsNow()).ended.map((e) => e.task), ["t"]);
    });

    it("carries out a start that arrived while it was down", async () => {
      endpoint.crash();
      const answer = orders.start(endpoint.info, startOrder("t", 1));
      await clock.advance(500);
      boot();
      network.deliverWaiting(address);
      await clock.flush();
      await clock.advance(10);
      assert.equal((await answer).kind, "done");
    });

    // Guards against a blind spot of the simulation: a number that a hold for the
    // earlier incarnation brought held for the ends that there were, not for
    // later ones.
    it("lists no end that a hold for the earlier one confirmed", async () => {
      endpoint.crash();
      const hold = { term: 1, recordedSeq: 1, waitMs: 0 };
      orders.hold(endpoint.info, hold);
      await clock.advance(500);
      boot();
      network.deliverWaiting(address);
      endpoint.start(startOrder("t", 1));
      endpoint.start(startOrder("u", 1));
      await clock.advance(durationMs);
      assert.deepEqual((await listsNow()).ended.map((e) => e.task), ["u"]);
    });

    it("cuts a lease of the earlier clock to the longest", async () => {
      endpoint.crash();
      boot(longDurationMs);
      endpoint.start(startOrder("t", 1, 1_000_000));
      await clock.advance(maxLeaseMs - 100);
      assert.equal(endpoint.runs.size, 1);
      await clock.advance(100);
      assert.equal((await listsNow()).ended[0].end, "lapsed");
    });

    // Guards against a blind spot of the simulation: the answer of the earlier
    // incarnation can be the last that an owner receives.
    it("lets an answer of the earlier incarnation arrive", async () => {
      const { life } = endpoint.info;
      network.maxExtraDelayMs = 400;
      const order = { term: 1, recordedSeq: 0, waitMs: 0 };
      const answer = orders.hold(endpoint.info, order);
      await clock.advance(300);
      endpoint.crash();
      boot();
      await clock.advance(500);
      const outcome = await answer;
      assert.equal(outcome.kind === "lists" && outcome.lists.life, life);
    });
  });

  it("rejects an order for another id at its address", async () => {
    const to = { ...endpoint.info, id: "endpoint-2" };
    const answer = orders.start(to, startOrder("t", 1));
    await clock.advance(10);
    assert.deepEqual(await answer, { kind: "rejected", reason: "other-life" });
    assert.equal(endpoint.runs.size, 0);
  });
});
