/** Many orders to the provider at the start of a surge. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../sim/virtual_clock.ts";
import { giveOrders } from "../../src/upkeep/index.ts";

/** Time that one order takes, in ms. */
const orderMs = 12;

function setUp(count: number) {
  const clock = new VirtualClock();
  const given: number[] = [];
  const items = Array.from({ length: count }, (_, i) => i);
  const give = (item: number) =>
    new Promise<boolean>((resolve) => {
      given.push(item);
      clock.after(orderMs, () => resolve(true));
    });
  const pass = async (ms: number) => {
    for (let left = ms; left > 0; left--) {
      await clock.advance(1);
      await clock.flush();
    }
  };
  return { clock, given, items, give, pass };
}

describe("orders for a pool that grows from 16 to 140 hosts", () => {
  it("are all given within the time for which an offer is fresh", async () => {
    const { given, items, give, pass } = setUp(124);
    let done = false;
    giveOrders(items, () => true, give).then(() => done = true);
    await pass(350);
    assert.ok(done);
    assert.deepEqual(given, items);
  });

  it("stop once the offers are no longer fresh", async () => {
    const { clock, given, items, give, pass } = setUp(124);
    giveOrders(items, () => clock.now() < 30, give);
    await pass(350);
    assert.ok(given.length > 0 && given.length <= 24, `${given.length}`);
  });

  it("stop when one has no clear answer", async () => {
    const { given, items, pass } = setUp(124);
    giveOrders(items, () => true, (item) => {
      given.push(item);
      return Promise.resolve(item !== 10);
    });
    await pass(50);
    assert.equal(given.length, 16);
  });
});
