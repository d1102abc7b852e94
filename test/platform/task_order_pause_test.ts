/** What the client reports about orders when its own thread is blocked. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { isMainThread } from "node:worker_threads";
import { TaskOrderClient } from "../../platform/task_order_client.ts";
import {
  assertTruthful,
  endpointAt,
  StandIns,
  startOrder,
} from "./stand_in.ts";
import { serveStandIns } from "./stand_in_server.ts";

/** Orders of one burst: more than the client's connections to an endpoint. */
const burstSize = 12;

/** Time for which the thread is blocked, in ms; longer than an order's timeout. */
const blockMs = 1_500;

/** Time after the last outcome in which an order may still arrive, in ms. */
const graceMs = 150;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Keeps the thread busy, in ms. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

function describePauses() {
  let standIns: StandIns;
  let client: TaskOrderClient;
  before(() => {
    standIns = new StandIns();
    client = new TaskOrderClient();
  });
  after(async () => {
    await client.close();
    await standIns.close();
  });

  // Guards against orders that are sent after their calls have timed out.
  for (const delayMs of [0, 10, 30]) {
    it(`sends none after a timeout, blocked after ${delayMs} ms`, async () => {
      const body = '{"clockMs":1}';
      const port = await standIns.open({ kind: "answer", status: 200, body });
      const tasks = Array.from({ length: burstSize }, (_, i) => `t${i}`);
      const starts = tasks.map((task) =>
        client.start(endpointAt(port), startOrder(task))
      );
      if (delayMs > 0) await pause(delayMs);
      block(blockMs);
      const outcomes = await Promise.all(starts);
      const settled = (await standIns.orders(port)).length;
      await pause(graceMs);
      const orders = await standIns.orders(port);
      assert.equal(orders.length, settled);
      const byTask = new Map(tasks.map((task, i) => [task, outcomes[i]]));
      assertTruthful(byTask, orders, false);
    });
  }
}

if (isMainThread) {
  describe("a client whose thread is blocked", describePauses);
} else serveStandIns();
