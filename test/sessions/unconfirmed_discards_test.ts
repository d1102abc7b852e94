/** Which incarnations may discard ends that nobody has read. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import {
  noUnconfirmedDiscards,
  UnconfirmedDiscards,
} from "../../src/sessions/index.ts";

/** Incarnation that the hold was meant for. */
const former = { id: "e", life: 7 };

/** The one after it. */
const next = { id: "e", life: 8 };

/** Time from an answer until no earlier hold arrives, in ms. */
const lateArrivalMs = 12_000;

/** Time after which an endpoint that is away is forgotten, in ms. */
const absenceMs = 600_000;

/** Most endpoints that are remembered. */
const maxEndpoints = 200;

describe("a discard without an answer", () => {
  let discards: UnconfirmedDiscards;

  beforeEach(() => {
    discards = new UnconfirmedDiscards();
    discards.add(former, 0);
  });

  it("may have reached the next incarnation of its endpoint", () => {
    assert.equal(discards.mayHideEnds(next, 60_000), true);
  });

  it("does no harm to the incarnation that it was meant for", () => {
    assert.equal(discards.mayHideEnds(former, 1), false);
  });

  it("does no harm to another endpoint", () => {
    assert.equal(discards.mayHideEnds({ id: "f", life: 8 }, 1), false);
  });

  describe("after which the same incarnation has answered", () => {
    beforeEach(() => discards.noteAnswer(former, 1_000));

    it("may still arrive late", () => {
      assert.equal(discards.mayHideEnds(next, 1_000 + lateArrivalMs), true);
    });

    it("does not arrive after that time", () => {
      assert.equal(discards.mayHideEnds(next, 1_001 + lateArrivalMs), false);
    });

    it("is forgotten then", () => {
      discards.prune(1_001 + lateArrivalMs);
      assert.equal(discards.encode(), noUnconfirmedDiscards);
    });
  });

  // Guards against TWICE: a row of another writer names an incarnation that does
  // not exist, just before the row of the right one comes.
  it("may have reached the one after a wrong incarnation", () => {
    discards.mayHideEnds(next, 1);
    assert.equal(discards.mayHideEnds({ id: "e", life: 9 }, 2), true);
  });

  it("stays a danger to an incarnation as long as that lasts", () => {
    discards.mayHideEnds(next, 1);
    discards.prune(10 * absenceMs);
    assert.equal(discards.mayHideEnds(next, 10 * absenceMs), true);
  });

  it("is forgotten when the endpoint stays away", () => {
    discards.prune(absenceMs + 1);
    assert.equal(discards.mayHideEnds(next, absenceMs + 1), false);
  });

  describe("is stored for the next owner", () => {
    it("which knows both kinds of incarnations", () => {
      discards.noteForeignDiscard({ id: "f", life: 3 });
      const successor = new UnconfirmedDiscards();
      successor.load(discards.encode(), 0);
      assert.equal(successor.mayHideEnds(next, 1), true);
      assert.equal(successor.mayHideEnds({ id: "f", life: 3 }, 1), true);
      assert.equal(successor.mayHideEnds({ id: "f", life: 4 }, 1), false);
    });

    it("in the same way whatever came first", () => {
      const other = new UnconfirmedDiscards();
      other.add({ id: "a", life: 1 }, 0);
      other.add(former, 0);
      discards.add({ id: "a", life: 1 }, 0);
      assert.equal(other.encode(), discards.encode());
    });

    it("which ignores a row that it can't read", () => {
      for (const value of ["", "{", '{"unconfirmed":[["e"]],"hiding":[]}']) {
        const successor = new UnconfirmedDiscards();
        successor.load(value, 0);
        assert.equal(successor.encode(), noUnconfirmedDiscards, value);
      }
    });
  });

  describe("that is only slow", () => {
    beforeEach(() => {
      discards = new UnconfirmedDiscards();
      discards.markSlow(former);
    });

    it("may have reached the next incarnation", () => {
      assert.equal(discards.mayHideEnds(next, 1), true);
    });

    it("has not once it is confirmed", () => {
      discards.confirm(former);
      assert.equal(discards.mayHideEnds(next, 1), false);
    });

    it("is stored as well", () => {
      assert.equal(discards.isStored(former), false);
      const successor = new UnconfirmedDiscards();
      successor.load(discards.encode(), 0);
      assert.equal(successor.mayHideEnds(next, 1), true);
      assert.equal(discards.isStored(former), true);
      assert.equal(discards.isStored(next), false);
    });

    it("takes the place of none that was given up before", () => {
      discards.add(former, 0);
      discards.markSlow(former);
      discards.confirm(former);
      assert.equal(discards.mayHideEnds(next, 1), true);
    });
  });

  it("is one of at most 200 that are remembered", () => {
    for (let i = 0; i < 2 * maxEndpoints; i++) {
      discards.add({ id: `e${i}`, life: 1 }, 0);
      discards.noteForeignDiscard({ id: `e${i}`, life: 2 });
    }
    const { unconfirmed, hiding } = JSON.parse(discards.encode());
    assert.equal(unconfirmed.length, maxEndpoints);
    assert.equal(hiding.length, maxEndpoints);
  });
});
