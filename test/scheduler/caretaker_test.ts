/** Stops of runs: what an availability budget allows, and what stands still. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import { placeTask, type StepSpec } from "../../src/batch/index.ts";
import {
  type EndpointSession,
  JobBook,
  type Run,
  RunSupervisor,
  type SupervisorDriver,
} from "../../src/scheduler/index.ts";
import { addOpenJob } from "./jobs.ts";
import { newRun, openSession } from "./sessions.ts";

/** Time for which an endpoint that went dark has not answered, in ms. */
const unansweredMs = 3_000;

/** Time between two answers of an endpoint, in ms. */
const answerPeriodMs = 1_000;

describe("the caretaker of a shard", () => {
  let now = 0;
  let sessions: readonly EndpointSession[];
  let stopped: string[];

  /** Puts three tasks of a step at work, each at an endpoint of its own. */
  function superviseLongRunning(maxUnavailable: number): RunSupervisor {
    const serving = {
      longRunning: true,
      maxPerEndpoint: 1,
      maxUnavailable,
    };
    return supervise({ ...plainStep(3, []), ...serving }, ["a"]);
  }

  function supervise(
    step: StepSpec,
    vacating: readonly string[],
  ): RunSupervisor {
    const jobs = new JobBook();
    const job = addOpenJob(jobs, "job", [step]);
    sessions = ["a", "b", "c"].map((id) => openSession(id));
    sessions.forEach((session, index) => {
      const ref = { occurrence: 0, step: 0, index };
      const placement = { run: 1, endpoint: session.endpoint.id, life: 7 };
      job.progress = placeTask(job.progress, ref, placement);
      const name = `job.0.0.${index}`;
      const run = { name, ref, run: 1, step, percent: 100 };
      session.add(newRun("running", run));
      session.recordAnswer(now, now);
    });
    const driver: SupervisorDriver = {
      sessions: () => sessions,
      session: (id) => sessions.find((s) => s.endpoint.id === id),
      endIncarnation: () => {},
      runs: {
        stop: (_: EndpointSession, run: Run) => {
          stopped.push(run.name);
          return Promise.resolve();
        },
      },
    };
    return new RunSupervisor({
      shard: "p",
      clock: { now: () => now, wall: () => now, after: () => () => {} },
      log: { decision: () => {} },
      jobs,
      driver,
      vacating: () => new Map(vacating.map((id) => [id, "emptying" as const])),
      putRow: () => {},
      removeRow: () => {},
    });
  }

  /** The endpoint of the second task stops answering; the others go on. */
  function stopAnswering(): void {
    now += unansweredMs;
    sessions[0].recordAnswer(now, now);
    sessions[2].recordAnswer(now, now);
  }

  beforeEach(() => {
    now = 0;
    stopped = [];
  });

  describe("when an endpoint is emptied for maintenance", () => {
    it("stops a task while the others of its step are at work", () => {
      const caretaker = superviseLongRunning(1);
      caretaker.pass();
      assert.deepEqual(stopped, ["job.0.0.0"]);
    });

    describe("when another endpoint has gone dark without a word", () => {
      it("counts its task as away, though it was at work when last seen", () => {
        const caretaker = superviseLongRunning(1);
        stopAnswering();
        caretaker.pass();
        assert.deepEqual(stopped, []);
      });

      it("still stops the task when the budget allows one more", () => {
        const caretaker = superviseLongRunning(2);
        stopAnswering();
        caretaker.pass();
        assert.deepEqual(stopped, ["job.0.0.0"]);
      });
    });

    // Guards against AVAIL: the task would be ended whenever the stop arrives.
    it("sends no stop to an endpoint that has fallen silent", () => {
      const caretaker = superviseLongRunning(2);
      now += unansweredMs;
      sessions[1].recordAnswer(now, now);
      sessions[2].recordAnswer(now, now);
      caretaker.pass();
      assert.deepEqual(stopped, []);
    });
  });

  describe("when a run shows no progress", () => {
    it("stops it if its endpoint has told so all the while", () => {
      const caretaker = supervise(plainStep(3, []), []);
      for (
        const end = now + 2 * unansweredMs;
        now < end;
        now += answerPeriodMs
      ) {
        sessions[0].recordAnswer(now, now);
        caretaker.pass();
      }
      assert.deepEqual([...new Set(stopped)], ["job.0.0.0"]);
    });

    // Guards against work given up because its endpoint was only silent.
    it("lets it go on if its endpoint says nothing", () => {
      const caretaker = supervise(plainStep(3, []), []);
      for (
        const end = now + 2 * unansweredMs;
        now < end;
        now += answerPeriodMs
      ) {
        caretaker.pass();
      }
      assert.deepEqual(stopped, []);
    });
  });
});
