/** Tests what the soak takes for a broken rule TWICE. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { judgeTwice } from "../../soak/judge_twice.ts";
import type { PlayRecord } from "../../soak/play_record.ts";
import { addJob, addRun, newRecord } from "./records.ts";

describe("the judge of TWICE", () => {
  let record: PlayRecord;

  /** The parts of the rule that are broken. */
  const parts = () => judgeTwice(record).map(({ part }) => part);

  beforeEach(() => {
    record = newRecord();
    addJob(record);
  });

  describe("two runs at the same time", () => {
    it("are found while the first one goes on", () => {
      addRun(record, { startedAt: 100 });
      addRun(record, { run: 2, endpoint: "i-2", startedAt: 5_300 });
      assert.deepEqual(parts(), ["overlap"]);
    });

    it("are found if the first one ended a moment later", () => {
      addRun(record, { startedAt: 100, endedAt: 5_301, end: "lapsed" });
      addRun(record, { run: 2, endpoint: "i-2", startedAt: 5_300 });
      assert.deepEqual(parts(), ["overlap"]);
    });

    it("are found although their starts were noted out of order", () => {
      addRun(record, { run: 2, endpoint: "i-2", startedAt: 5_300 });
      addRun(record, { startedAt: 100 });
      assert.deepEqual(parts(), ["overlap"]);
    });

    it("are found once a task", () => {
      for (const run of [1, 2, 3]) addRun(record, { run, startedAt: run });
      assert.deepEqual(parts(), ["overlap"]);
    });

    it("are told apart if an order had waited in a cut", () => {
      const cut = { what: "cut", who: "i-2", from: 1_000, to: 5_290 } as const;
      record.disturbances.push(cut);
      addRun(record, { startedAt: 100 });
      addRun(record, { run: 2, endpoint: "i-2", startedAt: 5_300 });
      assert.deepEqual(parts(), ["overlap by a late order"]);
    });

    it("are not found if the second begins as the first one ends", () => {
      addRun(record, { startedAt: 100, endedAt: 5_300, end: "lapsed" });
      addRun(record, { run: 2, endpoint: "i-2", startedAt: 5_300 });
      assert.deepEqual(parts(), []);
    });

    it("are not found if the first endpoint had crashed", () => {
      addRun(record, { startedAt: 100, endedAt: 400, end: "gone" });
      addRun(record, { run: 2, endpoint: "i-2", startedAt: 5_300 });
      assert.deepEqual(parts(), []);
    });
  });

  describe("a start after a run that was done", () => {
    it("is found if the end is taken note of, before or later", () => {
      addRun(record, {
        startedAt: 100,
        endedAt: 2_000,
        end: "done",
        notedAt: 9_000,
      });
      addRun(record, { run: 2, endpoint: "i-2", startedAt: 5_300 });
      assert.deepEqual(parts(), ["after done"]);
    });

    it("is not found if the end is never taken note of", () => {
      addRun(record, { startedAt: 100, endedAt: 2_000, end: "done" });
      addRun(record, { run: 2, endpoint: "i-2", startedAt: 5_300 });
      assert.deepEqual(parts(), []);
    });

    it("is not found after a run that failed", () => {
      const end = { endedAt: 2_000, end: "failed", notedAt: 2_100 } as const;
      addRun(record, { startedAt: 100, ...end });
      addRun(record, { run: 2, endpoint: "i-2", startedAt: 5_300 });
      assert.deepEqual(parts(), []);
    });
  });
});
