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
  const { watch } = followRegistrations(store, registry, {
    decision: () => {},
  });
  /** Writes a registration, and lets the registry read it. */
  const register = async (value: object) => {
    const put = {
      table: "servers",
      partition: "",
      key: id,
      value: JSON.stringify(value),
    };
    store.commit({ checks: [], puts: [put], removes: [] });
    await clock.advance(50);
    watch.poll(0);
    await clock.advance(50);
  };
  return { registry, register };
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
});
