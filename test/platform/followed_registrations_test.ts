/** Tests which endpoints the rows of the registrations' table lead to. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { followRegistrations } from "../../platform/followed_tables.ts";
import { ModelStore } from "../../sim/model_store.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import { EndpointRegistry } from "../../src/endpoint/index.ts";

const id = "i-1";
const born = 1_764_900_000_123;

const goodRow = {
  backend: "p",
  addr: "10.0.0.1:7001",
  state: "ready",
  born,
  capacity: { cpu: 4_000, memMb: 8_192 },
};

function setUp() {
  const clock = new VirtualClock();
  const store = new ModelStore(clock, () => 1)
    .connect("a", new ProcessClock(clock));
  const registry = new EndpointRegistry();
  const logged: string[] = [];
  const { watch } = followRegistrations(store, registry, {
    decision: (event, { endpoint }) => logged.push(`${event} ${endpoint}`),
  });
  /** Lets the registry read the table or its changes. */
  const poll = async () => {
    watch.poll(0);
    await clock.advance(50);
  };
  /** Writes a row, and lets the registry read it. */
  const write = async (key: string, value: string) => {
    const put = { table: "servers", partition: "", key, value };
    store.commit({ checks: [], puts: [put], removes: [] });
    await clock.advance(50);
    await poll();
  };
  const register = (value: object) => write(id, JSON.stringify(value));
  return { registry, register, write, poll, watch, logged };
}

describe("the registrations that an entry follows", () => {
  describe("when a row without a start time replaces a valid one", () => {
    // Guards against TWICE: the living endpoint appeared to have restarted, so
    // that its session ended and its tasks were started elsewhere.
    it("list no other incarnation, and no endpoint for new work", async () => {
      const { registry, register } = setUp();
      await register(goodRow);
      assert.equal(registry.get(id)?.life, born);
      await register({ ...goodRow, born: undefined });
      assert.equal(registry.get(id), undefined);
      await register(goodRow);
      assert.equal(registry.get(id)?.life, born);
    });
  });

  describe("when other writers leave rows that can't be read", () => {
    const oddRows: Readonly<Record<string, string>> = {
      "nested": "[".repeat(30_000) + "]".repeat(30_000),
      "too-large": JSON.stringify({
        ...goodRow,
        capacity: { cpu: 1e300, memMb: 1 },
      }),
      "no-port": JSON.stringify({ ...goodRow, addr: "10.1.2.3:70000" }),
      "no-ip": JSON.stringify({ ...goodRow, addr: "10.1.2.300:8080" }),
      "bytes": "\u0000\ufffd{",
    };

    // Guards against LOST: one row that ends the process or stops the table from
    // being followed.
    it("follow the others, and log each of them once", async () => {
      const { registry, register, write, poll, watch, logged } = setUp();
      for (const [key, value] of Object.entries(oddRows)) {
        await write(key, value);
      }
      await register(goodRow);
      watch.stopFollowing();
      await poll();
      assert.deepEqual(registry.inPool("p").map((e) => e.id), [id]);
      const expected = Object.keys(oddRows)
        .map((key) => `registration-unreadable ${key}`);
      assert.deepEqual([...logged].sort(), expected.sort());
    });
  });
});
