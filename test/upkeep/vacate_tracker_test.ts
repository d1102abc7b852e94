/** Tests tracking more vacated endpoints than one transaction can store. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VacateTracker } from "../../src/upkeep/index.ts";

const limit = 98;
const forgottenAfterMs = 16_000;

describe("endpoints whose hosts were taken down or moved", () => {
  describe("when more hosts move at once than a transaction can store", () => {
    it("are all stored, over several transactions", () => {
      const tracker = new VacateTracker();
      for (let i = 0; i < 250; i++) tracker.markDown(`e${i}`, 0);
      const stored = new Set<string>();
      const sizes: number[] = [];
      for (let round = 0; round < 3; round++) {
        const changes = tracker.pendingChanges([], round, limit);
        sizes.push(changes.puts.length);
        for (const { key } of changes.puts) stored.add(key);
        changes.onCommitted();
      }
      assert.deepEqual(sizes, [98, 98, 54]);
      assert.equal(stored.size, 250);
    });

    it("are all removed, over several transactions", () => {
      const tracker = new VacateTracker();
      for (let i = 0; i < 150; i++) tracker.load(`e${i}`, "down", 0);
      tracker.pendingChanges([], 0, limit);
      const first = tracker.pendingChanges([], forgottenAfterMs, limit);
      assert.equal(first.removes.length, limit);
      first.onCommitted();
      const second = tracker.pendingChanges([], forgottenAfterMs, limit);
      assert.equal(second.removes.length, 150 - limit);
    });
  });
});
