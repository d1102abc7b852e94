/** Starts and discards at one endpoint, which never overlap. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { DiscardGate } from "../../src/sessions/index.ts";

describe("the gate between starts and discards", () => {
  let gate: DiscardGate;
  let answers: (() => void)[];

  let givenUp: number;

  /** Sends a start that is answered by a function in `answers`. */
  const sendStart = () =>
    gate.sendStart(
      () => new Promise((resolve) => answers.push(resolve)),
      () => givenUp++,
    );

  /** Lets promises settle. */
  const settle = () => new Promise((resolve) => setImmediate(resolve));

  beforeEach(() => {
    gate = new DiscardGate();
    answers = [];
    givenUp = 0;
  });

  it("keeps a start back until the discard has an outcome", async () => {
    gate.beginDiscard();
    sendStart();
    await settle();
    assert.equal(answers.length, 0);
    gate.endDiscard();
    await settle();
    assert.equal(answers.length, 1);
  });

  it("keeps a discard back until all starts have an outcome", async () => {
    const first = sendStart();
    const second = sendStart();
    assert.equal(gate.mayDiscard, false);
    answers[0]();
    await first;
    assert.equal(gate.mayDiscard, false);
    answers[1]();
    await second;
    assert.equal(gate.mayDiscard, true);
  });

  it("goes on after a start that throws", async () => {
    const failing = gate.sendStart(
      () => Promise.reject(new Error("x")),
      () => {},
    );
    await assert.rejects(failing);
    assert.equal(gate.mayDiscard, true);
  });

  // Guards against starts that stand still for as long as a call may take.
  it("gives up the starts that wait for a slow discard", async () => {
    gate.beginDiscard();
    const waiting = sendStart();
    gate.markSlow();
    await waiting;
    await sendStart();
    assert.equal(givenUp, 2);
    gate.endDiscard();
    sendStart();
    assert.equal(answers.length, 1);
    assert.equal(gate.isSlow, false);
  });

  it("lets no discard begin during another", () => {
    gate.beginDiscard();
    assert.equal(gate.mayDiscard, false);
    gate.endDiscard();
    assert.equal(gate.mayDiscard, true);
  });
});
