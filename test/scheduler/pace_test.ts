/** The pace of tasks that fill, beside tasks that serve users (HARM). */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import { paceRuns, type Run } from "../../src/scheduler/index.ts";
import { newRun } from "./sessions.ts";

const targetMs = 100;

/** Holds of an endpoint that answer within a task's time to be over target. */
const maxHolds = 4;

function servingRun(load: number | undefined): Run {
  const step = { ...plainStep(1, []), longRunning: true, targetMs };
  return newRun("running", { name: "serving", step, load });
}

function fillerRun(pace: number): Run {
  const step = { ...plainStep(1, []), filler: true };
  return newRun("running", { name: "filling", step, pace });
}

function nextPace(load: number | undefined, pace: number): number {
  const filler = fillerRun(pace);
  const [change] = paceRuns([servingRun(load), filler]);
  return change?.percent ?? pace;
}

describe("tasks that fill beside tasks that serve", () => {
  describe("when a serving task is over its target", () => {
    it("are slowed down by more than half at once", () => {
      assert.ok(nextPace(150, 100) < 50);
    });

    it("are stopped from disturbing within a few holds", () => {
      let pace = 100;
      for (let i = 0; i < maxHolds; i++) pace = nextPace(150, pace);
      assert.equal(pace, 0);
    });
  });

  it("are slowed down before the target is reached", () => {
    assert.ok(nextPace(90, 100) < 100);
  });

  it("speed up in small steps once there is room again", () => {
    const pace = nextPace(20, 0);
    assert.ok(pace > 0 && pace <= 20);
  });

  it("keep their pace in between", () => {
    assert.equal(nextPace(70, 40), 40);
  });

  it("run freely where nobody serves", () => {
    const filler = fillerRun(30);
    assert.deepEqual(paceRuns([filler]), [{ run: filler, percent: 100 }]);
  });

  it("are paced again when an order had no answer", () => {
    assert.equal(nextPace(70, -1), 100);
  });

  it("don't change the pace of the serving ones", () => {
    const changes = paceRuns([servingRun(150), fillerRun(100)]);
    assert.deepEqual(changes.map(({ run }) => run.name), ["filling"]);
  });
});
