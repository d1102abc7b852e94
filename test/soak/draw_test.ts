/** Tests what the soak draws from a seed. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { maxDownShare, maxOutageMs } from "../../soak/bounds.ts";
import { drawOutages, drawPlay, trafficMs } from "../../soak/draw.ts";

const seeds = [1, 2, 3, 4, 5];

describe("a drawn play", () => {
  it("is the same for the same seed", () => {
    assert.deepEqual(drawPlay(7), drawPlay(7));
  });

  it("differs between seeds", () => {
    assert.notDeepEqual(drawPlay(7).rounds, drawPlay(8).rounds);
  });

  it("sends each job once, within the traffic", () => {
    for (const seed of seeds) {
      const { jobs } = drawPlay(seed);
      assert.equal(new Set(jobs.map(({ id }) => id)).size, jobs.length);
      assert.ok(jobs.every(({ sendAt }) => sendAt >= 0 && sendAt < trafficMs));
    }
  });

  it("has about 35 long jobs in 100", () => {
    const manySeeds = Array.from({ length: 20 }, (_, i) => i + 1);
    const jobs = manySeeds.flatMap((seed) => [...drawPlay(seed).jobs])
      .filter(({ queue }) => !queue.steps.some((step) => step.longRunning));
    const long = jobs.filter(({ runtimeFactor }) => runtimeFactor > 1);
    const share = long.length / jobs.length;
    assert.ok(share > 0.32 && share < 0.38, `${share}`);
  });

  it("ends its cuts before the traffic ends", () => {
    for (const { rounds } of seeds.map(drawPlay)) {
      const ends = rounds.map((round) =>
        round.darkAt + round.darkMs + round.cutAfterMs + round.cutMs
      );
      assert.ok(Math.max(...ends) < trafficMs);
    }
  });
});

describe("the drawn outages of a play", () => {
  it("are the same for the same seed", () => {
    assert.deepEqual(drawOutages(7), drawOutages(7));
  });

  it("keep within the bounds, one after another, and end with the traffic", () => {
    for (const { outages } of seeds.map(drawOutages)) {
      let freeFrom = 0;
      for (const { at, ms, share } of outages) {
        assert.ok(at >= freeFrom);
        assert.ok(ms <= maxOutageMs && share <= maxDownShare);
        freeFrom = at + ms;
      }
      assert.ok(freeFrom < trafficMs);
    }
  });
});
