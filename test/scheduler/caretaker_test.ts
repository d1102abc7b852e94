/** Stops that the availability budget of a long-running step allows. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import { placeTask } from "../../src/batch/index.ts";
import {
  type CareDriver,
  Caretaker,
  type EndpointSession,
  JobBook,
  type Run,
} from "../../src/scheduler/index.ts";
import { bookJob } from "./jobs.ts";
import { newRun, openSession } from "./sessions.ts";

/** Time for which an endpoint that went dark has not answered, in ms. */
const darkMs = 3_000;

describe("emptying an endpoint for maintenance", () => {
  let now = 0;
  let sessions: readonly EndpointSession[];
  let stopped: string[];

  /** Puts three tasks of a step at work, each at an endpoint of its own. */
  function care(maxUnavailable: number): Caretaker {
    const book = new JobBook();
    const lasting = { longRunning: true, maxPerEndpoint: 1, maxUnavailable };
    const step = { ...plainStep(3, []), ...lasting };
    const job = bookJob(book, "job", [step]);
    sessions = ["a", "b", "c"].map((id) => openSession(id));
    sessions.forEach((session, index) => {
      const ref = { occurrence: 0, step: 0, index };
      const placement = { run: 1, endpoint: session.endpoint.id, life: 7 };
      job.progress = placeTask(job.progress, ref, placement);
      const name = `job.0.0.${index}`;
      const run = { name, ref, run: 1, step, percent: 100 };
      session.add(newRun("running", run));
      session.noteAnswer(now);
    });
    const driver: CareDriver = {
      sessions: () => sessions,
      session: (id) => sessions.find((s) => s.endpoint.id === id),
      endLife: () => {},
      runs: {
        stop: (_: EndpointSession, run: Run) => {
          stopped.push(run.name);
          return Promise.resolve();
        },
      },
    };
    return new Caretaker({
      shard: "p",
      clock: { now: () => now, wall: () => now, after: () => () => {} },
      log: { decision: () => {} },
      book,
      driver,
      vacating: () => new Map([["a", "emptying" as const]]),
      report: () => {},
      retract: () => {},
    });
  }

  /** The endpoint of the second task stops answering; the others go on. */
  function goDark(): void {
    now += darkMs;
    sessions[0].noteAnswer(now);
    sessions[2].noteAnswer(now);
  }

  beforeEach(() => {
    now = 0;
    stopped = [];
  });

  it("stops a task while the others of its step are at work", () => {
    const caretaker = care(1);
    caretaker.pass();
    assert.deepEqual(stopped, ["job.0.0.0"]);
  });

  describe("when another endpoint has gone dark without a word", () => {
    it("counts its task as away, though it was at work when last seen", () => {
      const caretaker = care(1);
      goDark();
      caretaker.pass();
      assert.deepEqual(stopped, []);
    });

    it("still stops the task when the budget allows one more", () => {
      const caretaker = care(2);
      goDark();
      caretaker.pass();
      assert.deepEqual(stopped, ["job.0.0.0"]);
    });
  });
});
