/** Tests timeouts that leave out the delays of the calling process. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { afterResponsive, type Clock } from "../../src/clock/index.ts";

/** The timeout of the tests, in ms. */
const timeoutMs = 800;

/** A clock whose next timer a test fires, late if it says so. */
class ManualClock implements Clock {
  #now = 0;
  #timer: { readonly at: number; readonly f: () => void } | undefined;

  now(): number {
    return this.#now;
  }

  wall(): number {
    return this.#now;
  }

  after(ms: number, f: () => void): () => void {
    this.#timer = { at: this.#now + ms, f };
    return () => {
      this.#timer = undefined;
    };
  }

  /** Fires the timer, `lateMs` after its time; false if there is none. */
  fire(lateMs = 0): boolean {
    const timer = this.#timer;
    if (timer === undefined) return false;
    this.#timer = undefined;
    this.#now = timer.at + lateMs;
    timer.f();
    return true;
  }
}

/** Starts a timeout. */
function setUp() {
  const clock = new ManualClock();
  let expiredAt: number | undefined;
  const cancel = afterResponsive(clock, timeoutMs, () => {
    expiredAt = clock.now();
  });
  return { clock, cancel, expiredAt: () => expiredAt };
}

describe("a timeout that leaves out delays of the process", () => {
  it("expires in time without delays", () => {
    const { clock, expiredAt } = setUp();
    while (clock.fire());
    assert.equal(expiredAt(), timeoutMs);
  });

  it("expires by the time that has passed with short delays", () => {
    const { clock, expiredAt } = setUp();
    while (clock.fire(20));
    const at = expiredAt() ?? 0;
    assert.ok(at >= timeoutMs && at < timeoutMs * 1.2, `after ${at} ms`);
  });

  // Guards against the delay of the process being taken for silence of the other.
  it("goes on after a delay that is longer than it", () => {
    const { clock, expiredAt } = setUp();
    clock.fire(10 * timeoutMs);
    assert.equal(expiredAt(), undefined);
    while (clock.fire());
    assert.ok((expiredAt() ?? 0) > 10.5 * timeoutMs);
  });

  it("does not expire with the step that was delayed", () => {
    const { clock, expiredAt } = setUp();
    for (let step = 1; step < 8; step++) clock.fire();
    clock.fire(10 * timeoutMs);
    assert.equal(expiredAt(), undefined);
    assert.equal(clock.fire(), true);
    assert.ok(expiredAt() !== undefined);
  });

  it("expires even if each step is delayed", () => {
    const { clock, expiredAt } = setUp();
    let steps = 0;
    while (clock.fire(timeoutMs)) steps++;
    assert.equal(steps, 5);
    assert.ok(expiredAt() !== undefined);
  });

  it("does not expire once it is cancelled", () => {
    const { clock, cancel, expiredAt } = setUp();
    clock.fire();
    cancel();
    assert.equal(clock.fire(), false);
    assert.equal(expiredAt(), undefined);
  });
});
