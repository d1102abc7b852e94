/** Which orders reach an endpoint that restarts with the same id and address. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { isMainThread } from "node:worker_threads";
import { TaskOrderClient } from "../../platform/task_order_client.ts";
import type { OrderOutcome } from "../../src/endpoint/index.ts";
import {
  assertTruthful,
  endpointAt,
  StandIns,
  startOrder,
} from "./stand_in.ts";
import { type Behaviour, serveStandIns } from "./stand_in_server.ts";

/** Orders of one burst: more than the client's connections to an endpoint. */
const burstSize = 12;

/** Most connections of the client to one endpoint. */
const maxConnections = 5;

/** Time after the last outcome in which an order may still arrive, in ms. */
const graceMs = 150;

const accepts: Behaviour = {
  kind: "answer",
  status: 200,
  body: '{"clockMs":1}',
};

const silent: Behaviour = { kind: "silent" };

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function describeRestarts() {
  let standIns: StandIns;
  let client: TaskOrderClient;
  beforeEach(() => {
    standIns = new StandIns();
    client = new TaskOrderClient();
  });
  afterEach(async () => {
    await client.close();
    await standIns.close();
  });

  /** Starts tasks at the first incarnation. */
  function startAll(port: number, prefix = "t") {
    return Array.from({ length: burstSize }, (_, i) => `${prefix}${i}`)
      .map((task) => ({
        task,
        outcome: client.start(endpointAt(port, 1), startOrder(task)),
      }));
  }

  async function settle(starts: ReturnType<typeof startAll>) {
    const outcomes = new Map<string, OrderOutcome>();
    for (const { task, outcome } of starts) outcomes.set(task, await outcome);
    return outcomes;
  }

  /** Waits until a stand-in has read as many orders as there are connections. */
  async function untilConnectionsAreBusy(port: number): Promise<void> {
    while ((await standIns.orders(port)).length < maxConnections) {
      await pause(5);
    }
  }

  /** The tasks whose starts an incarnation of a stand-in has read. */
  async function tasksReadBy(port: number, incarnation: number) {
    const orders = await standIns.orders(port);
    return orders.filter((o) => o.incarnation === incarnation)
      .map((o) => o.task);
  }

  /** The outcomes of the given kind, and their reasons. */
  function countOutcomes(outcomes: Map<string, OrderOutcome>) {
    const values = [...outcomes.values()];
    return {
      unknown: values.filter((o) => o.kind === "unknown").length,
      notSent:
        values.filter((o) =>
          o.kind === "rejected" && o.reason === "unreachable"
        ).length,
    };
  }

  const sentAndQueued = {
    unknown: maxConnections,
    notSent: burstSize - maxConnections,
  };

  // Guards against runs that begin after their session has given them up.
  describe("while orders wait for a connection", () => {
    it("reads none of them once their incarnation has ended", async () => {
      const port = await standIns.open(silent);
      const starts = startAll(port);
      await untilConnectionsAreBusy(port);
      await standIns.behave(port, accepts);
      client.endIncarnation(endpointAt(port, 1));
      await standIns.restart(port);
      const outcomes = await settle(starts);
      await pause(graceMs);
      assert.deepEqual(countOutcomes(outcomes), sentAndQueued);
      assert.deepEqual(await tasksReadBy(port, 2), []);
      assertTruthful(outcomes, await standIns.orders(port), false);
    });

    it("reads none of them once the next incarnation has an order", async () => {
      const port = await standIns.open(silent);
      const starts = startAll(port);
      await untilConnectionsAreBusy(port);
      await standIns.behave(port, accepts);
      const next = client.start(endpointAt(port, 2), startOrder("next"));
      await standIns.restart(port);
      const outcomes = await settle(starts);
      await next;
      await pause(graceMs);
      assert.deepEqual(countOutcomes(outcomes), sentAndQueued);
      const tasks = await tasksReadBy(port, 2);
      assert.deepEqual(tasks.filter((task) => task !== "next"), []);
      assertTruthful(outcomes, await standIns.orders(port), false);
    });
  });

  // Guards against a client that can't be used when its session opens again.
  it("gets orders of the same incarnation that are sent later", async () => {
    const port = await standIns.open(accepts);
    client.endIncarnation(endpointAt(port, 1));
    await settle(startAll(port));
    client.endIncarnation(endpointAt(port, 1));
    const outcome = await client.start(endpointAt(port, 1), startOrder("u"));
    assert.equal(outcome.kind, "done");
  });

  // Guards against taking orders as not sent that the kernel may deliver.
  describe("while it has not read orders that were sent", () => {
    it("reads none of them after it ended, and they are unknown", async () => {
      const port = await standIns.open(accepts);
      await settle(startAll(port, "first"));
      await standIns.pause();
      const starts = startAll(port);
      await pause(graceMs);
      await standIns.close();
      standIns = new StandIns();
      await standIns.open(accepts, port);
      const outcomes = await settle(starts);
      const orders = await standIns.orders(port);
      assert.ok(countOutcomes(outcomes).unknown >= maxConnections);
      for (const { task } of orders) {
        assert.equal(outcomes.get(task)?.kind, "done");
      }
      assertTruthful(outcomes, orders, false);
    });

    it("may read them when it resumes, and they are unknown", async () => {
      const port = await standIns.open(accepts);
      await settle(startAll(port, "first"));
      await standIns.pause();
      const starts = startAll(port);
      await pause(graceMs);
      client.endIncarnation(endpointAt(port, 1));
      const outcomes = await settle(starts);
      standIns.resume();
      await pause(graceMs);
      assert.deepEqual(countOutcomes(outcomes), sentAndQueued);
      assertTruthful(outcomes, await standIns.orders(port), false);
    });
  });
}

if (isMainThread) {
  describe("an endpoint that restarts", describeRestarts);
} else serveStandIns();
