/** Tests which waiting work the soak takes for a broken rule LOST. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { IdleJudge } from "../../soak/judge_idle.ts";
import type { PlayRecord } from "../../soak/play_record.ts";
import {
  addAnswer,
  addJob,
  addLife,
  addRun,
  jobId,
  newRecord,
  stepWith,
  task,
} from "./records.ts";

describe("the judge of waiting work", () => {
  let record: PlayRecord;

  /** The parts of the rule that are broken. */
  const parts = () => new IdleJudge(record).judge().map(({ part }) => part);

  beforeEach(() => {
    record = newRecord();
    addLife(record);
    addLife(record, { endpoint: "i-2" });
  });

  describe("a job that ends", () => {
    beforeEach(() => addJob(record));

    it("is found if it has nothing running for 3 s in the end", () => {
      assert.deepEqual(parts(), ["nothing runs in the end"]);
    });

    it("is not found if the play ends before", () => {
      record.endAt = 42_900;
      assert.deepEqual(parts(), []);
    });

    it("is not found while it runs", () => {
      addRun(record, { startedAt: 30_000 });
      assert.deepEqual(parts(), []);
    });

    it("is not found if a run is missing for less than 3 s at a time", () => {
      addRun(record, { startedAt: 42_000, endedAt: 42_100, end: "failed" });
      assert.deepEqual(parts(), []);
    });

    it("is not found once its tasks are done", () => {
      const endedAt = 20_000;
      addRun(record, { endedAt, end: "done", notedAt: 20_010 });
      assert.deepEqual(parts(), []);
    });

    it("is found if its end was lost with its endpoint", () => {
      record.lives.length = 0;
      addLife(record, { to: 20_500 });
      addLife(record, { life: 2_000_000, from: 21_000 });
      addRun(record, { endedAt: 20_000, end: "done" });
      assert.deepEqual(parts(), ["nothing runs in the end"]);
    });

    it("is not found if it was shown as completed, though its end was lost", () => {
      record.lives.length = 0;
      addLife(record, { to: 20_500 });
      addLife(record, { endpoint: "i-2" });
      addRun(record, { endedAt: 20_000, end: "done" });
      assert.deepEqual(parts(), ["nothing runs in the end"]);
      addAnswer(record, { sentAt: 21_000, state: "completed" });
      assert.deepEqual(parts(), []);
    });

    it("is not found once a task has failed four times", () => {
      for (const run of [1, 2, 3, 4]) {
        const at = run * 1_000;
        addRun(record, { run, startedAt: at, endedAt: at + 9, end: "failed" });
      }
      assert.deepEqual(parts(), []);
    });

    it("is not found if it was not accepted", () => {
      addJob(record, { acceptedAt: undefined });
      assert.deepEqual(parts(), []);
    });

    it("is excused if only one task has room", () => {
      addJob(record, { steps: [stepWith({ cpu: 3_000 })] });
      record.lives.length = 1;
      assert.deepEqual(parts(), []);
    });

    it("is excused if half of the cores are in use", () => {
      addBusyJob(record, 4);
      assert.deepEqual(parts(), []);
    });

    it("is found if less than half of the cores are in use", () => {
      addBusyJob(record, 3);
      assert.deepEqual(parts(), ["nothing runs in the end"]);
    });

    it("is excused if the endpoints with room are cut off", () => {
      for (const who of ["i-1", "i-2"]) {
        record.disturbances.push({ what: "cut", who, from: 35_000 });
      }
      assert.deepEqual(parts(), []);
    });

    it("is excused while a step before is not done", () => {
      addJob(record, { steps: [stepWith({}), stepWith({ after: [0] })] });
      addRun(record, { startedAt: 30_000 });
      assert.deepEqual(parts(), []);
    });
  });

  describe("the longest wait of a job", () => {
    it("counts at any time of the play", () => {
      addJob(record);
      addRun(record, { startedAt: 500, endedAt: 10_000, end: "lapsed" });
      addRun(record, { run: 2, startedAt: 16_000 });
      const [wait] = new IdleJudge(record).longestWaits();
      assert.ok(Math.abs(wait - 6_000) <= 200, `${wait}`);
    });
  });

  describe("a task that lasts", () => {
    beforeEach(() => {
      addJob(record, { steps: [stepWith({ longRunning: true })] });
    });

    it("is found in the end although others of its job run", () => {
      addJob(record, { steps: [stepWith({ longRunning: true, count: 2 })] });
      addRun(record, { startedAt: 500 });
      record.disturbances.push(noise(0, 39_900));
      assert.deepEqual(parts(), ["lasting task does not run in the end"]);
    });

    it("is found in a calm time from 6 s after its last run", () => {
      addRun(record, { startedAt: 500, endedAt: 10_000, end: "lapsed" });
      addRun(record, { run: 2, startedAt: 19_200 });
      assert.deepEqual(parts(), ["lasting task does not run in a calm time"]);
    });

    it("is not found if it runs again 9 s after its last run", () => {
      addRun(record, { startedAt: 500, endedAt: 10_000, end: "lapsed" });
      addRun(record, { run: 2, startedAt: 18_900 });
      assert.deepEqual(parts(), []);
    });

    it("is excused by a disturbance in the 4 s before or in the 3 s", () => {
      addRun(record, { startedAt: 500, endedAt: 10_000, end: "lapsed" });
      addRun(record, { run: 2, startedAt: 25_000 });
      record.disturbances.push(noise(20_000, 20_100));
      assert.deepEqual(parts(), ["lasting task does not run in a calm time"]);
      record.disturbances.push(noise(18_000, 18_100));
      assert.deepEqual(parts(), []);
    });
  });
});

/** A disturbance of an entry. */
function noise(from: number, to: number) {
  return { what: "kill", who: "front-oita-1", from, to } as const;
}

/** Adds a job of which `tasks` tasks of a core each run all the time. */
function addBusyJob(record: PlayRecord, tasks: number): void {
  const id = "00000000000000aa";
  const job = record.jobs.get(jobId);
  if (job === undefined) throw new Error("there is no job");
  const steps = [stepWith({ count: tasks })];
  record.jobs.set(id, { ...job, id, steps });
  for (let i = 0; i < tasks; i++) {
    const busyTask = `${id}.0.0.${i}`;
    addRun(record, { task: busyTask, job: id, endpoint: `i-${1 + i % 2}` });
  }
  if (record.runsOf(task).length > 0) throw new Error("the job has run");
}
