/** Tests which answers the soak takes for a broken rule LOST. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { AnswerJudge } from "../../soak/judge_answers.ts";
import type { PlayRecord } from "../../soak/play_record.ts";
import { addAnswer, addJob, addRun, newRecord } from "./records.ts";

describe("the judge of answers", () => {
  let record: PlayRecord;

  /** The parts of the rule that are broken. */
  const parts = () => new AnswerJudge(record).judge().map(({ part }) => part);

  /** Adds an answer after the end, so that only the others are judged. */
  const answerInTheEnd = () => addAnswer(record, { sentAt: 40_100 });

  beforeEach(() => {
    record = newRecord();
    addJob(record, { acceptedAt: 1_000 });
  });

  describe("a job that is not known", () => {
    beforeEach(answerInTheEnd);

    it("is found from 3 s after the ack", () => {
      addAnswer(record, { sentAt: 4_001, status: 410, state: undefined });
      assert.deepEqual(parts(), ["answered 410"]);
    });

    it("is excused earlier", () => {
      addAnswer(record, { sentAt: 3_999, status: 410, state: undefined });
      assert.deepEqual(parts(), []);
    });

    it("is excused by an entry that was killed less than 3 s before", () => {
      const who = "front-oita-1";
      record.disturbances.push({ what: "kill", who, from: 4_000, to: 4_300 });
      addAnswer(record, { sentAt: 7_200, status: 410, state: undefined });
      assert.deepEqual(parts(), []);
      addAnswer(record, { sentAt: 7_301, status: 410, state: undefined });
      assert.deepEqual(parts(), ["answered 410"]);
    });

    it("is excused if it was never accepted", () => {
      addJob(record, { acceptedAt: undefined });
      addAnswer(record, { sentAt: 9_000, status: 410, state: undefined });
      assert.deepEqual(parts(), []);
    });
  });

  describe("a job shown as ended", () => {
    beforeEach(answerInTheEnd);

    /** Adds runs of the task that end as failed. */
    const addFailedRuns = (count: number) => {
      for (let run = 1; run <= count; run++) {
        addRun(record, {
          run,
          startedAt: run * 1_000,
          endedAt: run * 1_000 + 500,
          end: "failed",
        });
      }
    };

    it("has failed without cause after three ends that failed", () => {
      addFailedRuns(3);
      addRun(record, {
        run: 4,
        startedAt: 5_000,
        endedAt: 6_000,
        end: "lapsed",
      });
      addAnswer(record, { sentAt: 9_000, state: "failed" });
      assert.deepEqual(parts(), ["shown as failed"]);
    });

    it("may be shown as failed after four ends that failed", () => {
      addFailedRuns(4);
      addAnswer(record, { sentAt: 9_000, state: "failed" });
      assert.deepEqual(parts(), []);
    });

    it("is completed too early while its task runs", () => {
      addRun(record, { startedAt: 2_000, endedAt: 9_100, end: "done" });
      addAnswer(record, { sentAt: 9_000, state: "completed" });
      assert.deepEqual(parts(), ["shown as completed"]);
    });

    it("may be shown as completed once its task is done", () => {
      addRun(record, { startedAt: 2_000, endedAt: 8_900, end: "done" });
      addAnswer(record, { sentAt: 9_000, state: "completed" });
      assert.deepEqual(parts(), []);
    });

    it("was cancelled by nobody", () => {
      addAnswer(record, { sentAt: 9_000, state: "cancelled" });
      assert.deepEqual(parts(), ["shown as cancelled"]);
    });
  });

  describe("the answers in the end", () => {
    it("are enough if one of them tells the state", () => {
      addAnswer(record, {
        sentAt: 40_000,
        status: undefined,
        state: undefined,
      });
      addAnswer(record, { sentAt: 43_200 });
      assert.deepEqual(parts(), []);
    });

    it("are missing if none came in time", () => {
      addAnswer(record, { sentAt: 39_000 });
      addAnswer(record, {
        sentAt: 40_000,
        status: undefined,
        state: undefined,
      });
      assert.deepEqual(parts(), ["no answer in the end"]);
    });

    it("say that the job is unknown", () => {
      addAnswer(record, { sentAt: 40_000, status: 410, state: undefined });
      assert.deepEqual(parts(), ["answered 410", "unknown in the end"]);
    });
  });
});
