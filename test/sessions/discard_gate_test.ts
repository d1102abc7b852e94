/** Starts and discards at one endpoint, which never overlap. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { DiscardGate } from "../../src/sessions/index.ts";

describe("the gate between starts and discards", () => {
  let gate: DiscardGate;
  let answers: (() => void)[];

  /** Sends a start that is answered by a function in `answers`. */
  const sendStart = () =>
    gate.sendStart(() => new Promise((resolve) => answers.push(resolve)));

  /** Lets promises settle. */
  const settle = () => new Promise((resolve) => setImmediate(resolve));

  beforeEach(() => {
    gate = new DiscardGate();
    answers = [];
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
    const failing = gate.sendStart(() => Promise.reject(new Error("x")));
    await assert.rejects(failing);
    assert.equal(gate.mayDiscard, true);
  });

  it("lets no discard begin during another", () => {
    gate.beginDiscard();
    assert.equal(gate.mayDiscard, false);
    gate.endDiscard();
    assert.equal(gate.mayDiscard, true);
  });
});
