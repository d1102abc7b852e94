/** What an owner concludes from an endpoint's lists. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointLists } from "../../src/endpoint/index.ts";
import { EndpointSession } from "../../src/scheduler/index.ts";
import { endpoint, newRun as run } from "./sessions.ts";

function newSession(): EndpointSession {
  return new EndpointSession(endpoint("e"), 0);
}

const emptyLists: EndpointLists = {
  clockMs: 0,
  life: 7,
  running: [],
  ended: [],
};
const listed = {
  task: "job.0.0.0",
  run: 2,
  checkpoint: "c",
  percent: 40,
  load: undefined,
};

describe("an endpoint's lists", () => {
  describe("when a start had no answer", () => {
    it("adopts a run that is listed", () => {
      const session = newSession();
      const doubtful = run("doubtful");
      session.add(doubtful);
      const found = session.compareLists(
        { ...emptyLists, running: [listed] },
        200,
        210,
      );
      assert.deepEqual(found.confirmed, [doubtful]);
      assert.equal(doubtful.phase, "running");
    });

    it("settles one that is not listed by a stop, not by waiting", () => {
      const session = newSession();
      const doubtful = run("doubtful");
      session.add(doubtful);
      assert.deepEqual(session.compareLists(emptyLists, 200, 210).unresolved, [
        doubtful,
      ]);
    });

    it("concludes nothing from lists that were asked for before", () => {
      const session = newSession();
      session.add(run("running", { changedAt: 300 }));
      const found = session.compareLists(emptyLists, 200, 310);
      assert.deepEqual(found.unresolved, []);
      assert.deepEqual(found.absent, []);
    });
  });

  describe("after a stop was confirmed", () => {
    it("counts a run that is not listed as absent", () => {
      const session = newSession();
      const stopped = run("stopping", { stoppedAt: 150 });
      session.add(stopped);
      assert.deepEqual(session.compareLists(emptyLists, 200, 210).absent, [
        stopped,
      ]);
    });
  });

  describe("with runs that nobody asked for", () => {
    it("names an older run of a known task", () => {
      const session = newSession();
      session.add(run("running", { run: 3 }));
      const found = session.compareLists(
        { ...emptyLists, running: [listed] },
        50,
        60,
      );
      assert.deepEqual(found.foreign, [listed]);
    });
  });

  describe("with ends", () => {
    it("takes each end once", () => {
      const session = newSession();
      const end = {
        seq: 4,
        task: "job.0.0.0",
        run: 2,
        end: "done",
        checkpoint: "",
      } as const;
      const lists = { ...emptyLists, ended: [end] };
      assert.equal(session.compareLists(lists, 200, 210).ended.length, 1);
      assert.equal(session.compareLists(lists, 220, 230).ended.length, 0);
    });
  });
});

describe("the lease of an endpoint", () => {
  it("is bounded by its clock's drift", () => {
    const session = newSession();
    session.readClock(10_000, 1_000);
    assert.equal(session.nextLeaseUntil(1_500), 15_500);
    // 5,500 ms of a clock that is 2% slow, and the delivery of the answer.
    assert.equal(session.leaseEndsBy, 1_000 + 5_610 + 100);
  });
});

describe("an endpoint that had another owner", () => {
  // Guards against AVAIL: a task that is being stopped is still listed.
  it("is clear of earlier stops once these are over", () => {
    const session = newSession();
    assert.equal(session.isClearOfEarlierStops, false);
    session.fencedAt = 100;
    session.recordAnswer(1_050, 1_060);
    assert.equal(session.isClearOfEarlierStops, false);
    session.recordAnswer(1_100, 1_110);
    assert.equal(session.isClearOfEarlierStops, true);
  });
});
