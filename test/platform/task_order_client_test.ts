/** What the client of the endpoints reports about orders that go wrong. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { isMainThread } from "node:worker_threads";
import fc from "fast-check";
import { TaskOrderClient } from "../../platform/task_order_client.ts";
import type { OrderOutcome } from "../../src/endpoint/index.ts";
import {
  assertTruthful,
  endpointAt,
  nothingDoneStatuses,
  StandIns,
  startOrder,
} from "./stand_in.ts";
import { type Behaviour, serveStandIns } from "./stand_in_server.ts";

/** Orders of one burst: more than the client's connections to an endpoint. */
const burstSize = 12;

/** Most connections of the client to one endpoint. */
const maxConnections = 5;

/** Time after the last outcome in which an order may still arrive, in ms. */
const graceMs = 100;

const accepted = '{"clockMs":1}';

function answer(status: number, body = "{}"): Behaviour {
  return { kind: "answer", status, body };
}

/** Failures after the whole order was read, by what the endpoint does. */
const failuresAfterRead: Readonly<Record<string, Behaviour>> = {
  "answers 200 with broken JSON": answer(200, '{"clockMs":'),
  "answers 200 with another object": answer(200, '{"rows":[]}'),
  "answers 204": answer(204, ""),
  "answers 301": answer(301),
  "answers 404": answer(404),
  "answers 408": answer(408),
  "answers 409 without a reason": answer(409, accepted),
  "answers 409 with an unknown reason": answer(409, '{"reason":"x"}'),
  "answers 409 with broken JSON": answer(409, '{"reason":"late"'),
  "answers 410": answer(410),
  "answers 500": answer(500),
  "answers 502": answer(502),
  "answers 504": answer(504),
  "closes the connection": { kind: "send-and-close", text: "" },
  "resets the connection": { kind: "send-and-reset", text: "" },
  "sends no HTTP": { kind: "send-and-close", text: "?\r\n\r\n" },
  "sends half a head": { kind: "send-and-close", text: "HTTP/1.1 503 " },
  "sends half a body": {
    kind: "send-and-close",
    text: 'HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{"clock',
  },
  "sends half a body of unknown length": {
    kind: "send-and-close",
    text: 'HTTP/1.1 200 OK\r\n\r\n{"clock',
  },
  "sends half a rejection of unknown length": {
    kind: "send-and-close",
    text: 'HTTP/1.1 409 Conflict\r\n\r\n{"reason":"la',
  },
  "resets amid a body": {
    kind: "send-and-reset",
    text: 'HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{"clock',
  },
  "stops": { kind: "stop" },
  "restarts": { kind: "restart" },
  "stays silent": { kind: "silent" },
};

/** Answers of which the protocol says that nothing was done. */
const refusals: Readonly<Record<string, Behaviour>> = Object.fromEntries([
  ...nothingDoneStatuses.filter((s) => s !== 409).map((s) => [s, answer(s)]),
  ...["fence", "old", "late", "room", "ticket"].map((
    reason,
  ) => [`409 ${reason}`, answer(409, JSON.stringify({ clockMs: 1, reason }))]),
]);

/** Starts tasks 0 to `count` - 1 at once; returns the outcomes by task. */
async function startAll(
  client: TaskOrderClient,
  port: number,
  count: number,
): Promise<Map<string, OrderOutcome>> {
  const tasks = Array.from({ length: count }, (_, i) => `t${i}`);
  const outcomes = await Promise.all(
    tasks.map((task) => client.start(endpointAt(port), startOrder(task))),
  );
  return new Map(tasks.map((task, i) => [task, outcomes[i]]));
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function describeOutcomes() {
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

  // Guards against placing a task again while its first run goes on.
  describe("an order that was read", { concurrency: true }, () => {
    for (const [name, behaviour] of Object.entries(failuresAfterRead)) {
      it(`is unknown when the endpoint ${name}`, async () => {
        const port = await standIns.open(behaviour);
        const outcomes = await startAll(client, port, 1);
        assertTruthful(outcomes, await standIns.orders(port), false);
        assert.equal(outcomes.get("t0")?.kind, "unknown");
      });

      it(`is unknown in a burst when the endpoint ${name}`, async () => {
        const port = await standIns.open(behaviour);
        const hold = client.hold(endpointAt(port), {
          term: 1,
          recordedSeq: 0,
          waitMs: 300,
        });
        const outcomes = await startAll(client, port, burstSize);
        await hold;
        await pause(graceMs);
        assertTruthful(outcomes, await standIns.orders(port), false);
      });
    }
  });

  // Guards against runs that stay in doubt although nothing was started.
  describe("an order that the endpoint refuses", { concurrency: true }, () => {
    for (const [name, behaviour] of Object.entries(refusals)) {
      it(`is rejected after ${name}`, async () => {
        const port = await standIns.open(behaviour);
        const outcomes = await startAll(client, port, burstSize);
        const kinds = new Set([...outcomes.values()].map((o) => o.kind));
        assert.deepEqual([...kinds], ["rejected"]);
        assertTruthful(outcomes, await standIns.orders(port), true);
      });
    }
  });

  describe("an order that is accepted", { concurrency: true }, () => {
    for (const body of [accepted, ""]) {
      it(`is done after the body "${body}"`, async () => {
        const port = await standIns.open(answer(200, body));
        const outcomes = await startAll(client, port, burstSize);
        const kinds = new Set([...outcomes.values()].map((o) => o.kind));
        assert.deepEqual([...kinds], ["done"]);
        assertTruthful(outcomes, await standIns.orders(port), false);
      });
    }
  });

  // Guards against ending a session, which gives up all of its runs.
  describe("lists that don't tell the incarnation", () => {
    it("are of the one that the hold was for", async () => {
      const port = await standIns.open(answer(200, accepted));
      const order = { term: 1, recordedSeq: 0, waitMs: 1 };
      const outcome = await client.hold(endpointAt(port, 7), order);
      const lists = {
        clockMs: 1,
        life: 7,
        running: [],
        ended: [],
        hasMoreEnds: false,
      };
      assert.deepEqual(outcome, { kind: "lists", lists });
    });
  });

  // Guards against TWICE: a run whose end was not listed yet counted as absent.
  describe("lists with as many ends as one response holds", () => {
    for (const count of [499, 500]) {
      it(`of ${count} ends tell whether further ones may follow`, async () => {
        const finished = Array.from(
          { length: count },
          (_, i) => [i + 1, `5c0e7a21d94b36f8.0.0.${i}`, 1, "done", ""],
        );
        const body = JSON.stringify({ clockMs: 1, running: [], finished });
        const port = await standIns.open(answer(200, body));
        const order = { term: 1, recordedSeq: 0, waitMs: 0 };
        const outcome = await client.hold(endpointAt(port, 7), order);
        assert.ok(outcome.kind === "lists");
        assert.equal(outcome.lists.ended.length, count);
        assert.equal(outcome.lists.hasMoreEnds, count === 500);
      });
    }
  });

  describe("an order that can't be sent", () => {
    it("is rejected as unreachable when the port refuses", async () => {
      const port = await standIns.open(answer(200, accepted));
      await standIns.stop(port);
      const outcomes = await startAll(client, port, burstSize);
      for (const outcome of outcomes.values()) {
        const expected = { kind: "rejected", reason: "unreachable" };
        assert.deepEqual(outcome, expected);
      }
      assert.deepEqual(await standIns.orders(port), []);
    });

    it("is not read when connections are reset on accept", async () => {
      const port = await standIns.open({ kind: "reset-on-accept" });
      const outcomes = await startAll(client, port, burstSize);
      assertTruthful(outcomes, await standIns.orders(port), false);
      assert.deepEqual(await standIns.orders(port), []);
    });
  });

  // Guards against an order that arrives after its call has timed out.
  describe("orders behind silent ones", () => {
    it("are not sent after their timeout", async () => {
      const port = await standIns.open({ kind: "silent" });
      const outcomes = await startAll(client, port, burstSize);
      await standIns.behave(port, answer(200, accepted));
      await pause(graceMs);
      const orders = await standIns.orders(port);
      assertTruthful(outcomes, orders, false);
      assert.ok(orders.length <= maxConnections, `${orders.length} were read`);
    });
  });
}

function describeDrawnSequences() {
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

  const quickFailures = Object.values(failuresAfterRead)
    .filter(({ kind }) => kind !== "silent");
  const steps = fc.array(
    fc.record({
      behaviour: fc.constantFrom(...quickFailures),
      count: fc.integer({ min: 1, max: burstSize }),
      action: fc.constantFrom("none", "restart", "stop"),
    }),
    { minLength: 2, maxLength: 5 },
  );

  // Guards against combinations that the table does not contain.
  it("never rejects an order that a changing endpoint has read", async () => {
    const property = fc.asyncProperty(steps, async (steps) => {
      const port = await standIns.open(answer(200, accepted));
      let readCount = 0;
      for (const { behaviour, count, action } of steps) {
        await standIns.behave(port, behaviour);
        const starting = startAll(client, port, count);
        if (action === "restart") await standIns.restart(port);
        if (action === "stop") await standIns.stop(port);
        const outcomes = await starting;
        const orders = await standIns.orders(port);
        assertTruthful(outcomes, orders.slice(readCount), false);
        readCount = orders.length;
        if (action === "stop") await standIns.restart(port);
      }
    });
    await fc.assert(property, { seed: 33, numRuns: 30 });
  });
}

if (isMainThread) {
  describe("the client of the endpoints' orders", () => {
    describe("outcomes", describeOutcomes);
    describe("drawn sequences", describeDrawnSequences);
  });
} else serveStandIns();
