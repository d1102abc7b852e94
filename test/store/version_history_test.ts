/** Tests what the versions of a store tell about the age of a row. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VersionHistory } from "../../src/store/index.ts";

/** A history of versions 10 and 20, whose answers took 5 ms. */
function setUp(): VersionHistory {
  const history = new VersionHistory();
  history.add(10, 100, 105);
  history.add(20, 200, 205);
  return history;
}

describe("VersionHistory", () => {
  it("bounds the time of a write from above by the first later answer", () => {
    const history = setUp();
    assert.equal(history.writtenBy(10), 105);
    assert.equal(history.writtenBy(11), 205);
    assert.equal(history.writtenBy(20), 205);
  });

  // Guards against ONE: the age of a commit was taken to be at least a lease.
  it("tells nothing of a version that no answer has reached", () => {
    assert.equal(setUp().writtenBy(21), undefined);
  });

  it("bounds it from above also if answers overtake one another", () => {
    const history = new VersionHistory();
    history.add(20, 100, 300);
    history.add(20, 110, 120);
    assert.equal(history.writtenBy(15), 120);
  });

  it("bounds it from below by an answer that was sent later", () => {
    const history = setUp();
    assert.equal(history.isNewerThan(11, 100), true);
    assert.equal(history.isNewerThan(10, 100), false);
    assert.equal(history.isNewerThan(21, 201), false);
  });
});
