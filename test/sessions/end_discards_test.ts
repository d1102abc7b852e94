/** What becomes of a hold that lets an endpoint discard ends. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { VirtualClock } from "../../sim/virtual_clock.ts";
import type { HoldOutcome, TaskOrders } from "../../src/endpoint/index.ts";
import {
  EndDiscards,
  type EndpointSession,
  noUnconfirmedDiscards,
} from "../../src/sessions/index.ts";
import { openSession } from "../scheduler/sessions.ts";

/** The incarnation after that of the session, which is 7. */
const next = { id: "e", life: 8 };

/** Time from which a discard without an answer is stored, in ms. */
const slowMs = 50;

const order = { term: 1, recordedSeq: 5, waitMs: 0 };

describe("a discard", () => {
  let clock: VirtualClock;
  let session: EndpointSession;
  let discards: EndDiscards;
  let storedCount: number;
  let answer: (outcome: HoldOutcome) => void;
  let outcome: Promise<HoldOutcome>;

  /** Lists of an incarnation that has neither runs nor ends. */
  const listsOf = (life: number): HoldOutcome => ({
    kind: "lists",
    lists: { clockMs: 1, life, running: [], ended: [], hasMoreEnds: false },
  });

  const mayNextHideEnds = () =>
    discards.unconfirmed.mayHideEnds(next, clock.now());

  beforeEach(() => {
    clock = new VirtualClock();
    session = openSession("e");
    storedCount = 0;
    const hold = () => new Promise<HoldOutcome>((resolve) => answer = resolve);
    discards = new EndDiscards({
      orders: { hold } as unknown as TaskOrders,
      clock,
      log: { decision: () => {} },
      shard: "p",
      lease: { term: 1 } as never,
      onDiscardUnconfirmed: () => {
        storedCount++;
        discards.unconfirmed.encode();
      },
    });
    outcome = discards.send(session, order);
  });

  it("is done when the incarnation answers that it was meant for", async () => {
    answer(listsOf(7));
    await outcome;
    assert.equal(session.discardedEndSeq, 5);
    assert.equal(session.silent, false);
    assert.equal(discards.unconfirmed.encode(), noUnconfirmedDiscards);
  });

  it("has reached no other one when it is rejected", async () => {
    answer({ kind: "rejected", reason: "fenced" });
    await outcome;
    assert.equal(session.discardedEndSeq, 0);
    assert.equal(mayNextHideEnds(), false);
  });

  // Guards against TWICE: a discard without an answer is carried out by the next
  // incarnation, whose ends it makes vanish.
  it("may have reached the next one when it has no answer", async () => {
    answer({ kind: "unknown", message: "no answer" });
    await outcome;
    assert.equal(session.silent, true);
    assert.equal(storedCount, 1);
    assert.equal(mayNextHideEnds(), true);
  });

  it("has reached the next one when that answers it", async () => {
    answer(listsOf(8));
    await outcome;
    assert.equal(session.discardedEndSeq, 0);
    assert.equal(mayNextHideEnds(), true);
  });

  it("may reach the next one when its session ends meanwhile", () => {
    discards.endSession(session);
    assert.equal(mayNextHideEnds(), true);
  });

  it("is stored once when it is slow, and forgotten when it is done", async () => {
    await clock.advance(slowMs);
    assert.equal(storedCount, 1);
    assert.equal(session.mayStartRuns(clock.now()), false);
    answer(listsOf(7));
    await outcome;
    assert.equal(storedCount, 1);
    assert.equal(session.mayStartRuns(clock.now()), true);
    assert.equal(mayNextHideEnds(), false);
  });
});
