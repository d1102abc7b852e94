/** Tests sending many orders to the provider at the start of a surge. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../sim/virtual_clock.ts";
import { sendInBatches } from "../../src/upkeep/index.ts";

/** Time that one order takes, in ms. */
const orderMs = 12;

function setUp(count: number) {
  const clock = new VirtualClock();
  const sent: number[] = [];
  const items = Array.from({ length: count }, (_, i) => i);
  const send = (item: number) =>
    new Promise<boolean>((resolve) => {
      sent.push(item);
      clock.after(orderMs, () => resolve(true));
    });
  const advance = async (ms: number) => {
    for (let left = ms; left > 0; left--) {
      await clock.advance(1);
      await clock.flush();
    }
  };
  return { clock, sent, items, send, advance };
}

describe("orders for a pool that grows from 16 to 140 hosts", () => {
  it("are all sent within the maximum age of an offer", async () => {
    const { sent, items, send, advance } = setUp(124);
    let done = false;
    sendInBatches(items, () => true, send).then(() => done = true);
    await advance(350);
    assert.ok(done);
    assert.deepEqual(sent, items);
  });

  it("stop once the offers are too old", async () => {
    const { clock, sent, items, send, advance } = setUp(124);
    sendInBatches(items, () => clock.now() < 30, send);
    await advance(350);
    assert.ok(sent.length > 0 && sent.length <= 24, `${sent.length}`);
  });

  it("stop after a batch with an unconfirmed order", async () => {
    const { sent, items, advance } = setUp(124);
    sendInBatches(items, () => true, (item) => {
      sent.push(item);
      return Promise.resolve(item !== 10);
    });
    await advance(50);
    assert.equal(sent.length, 16);
  });
});
