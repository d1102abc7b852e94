/** One pass of placement: gangs, spreading and put-off jobs. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import type { StepSpec } from "../../src/batch/index.ts";
import {
  type BookedJob,
  type EndpointSession,
  planStarts,
  RunTimes,
} from "../../src/scheduler/index.ts";
import { bookedJob } from "./jobs.ts";
import { newRun, openSession } from "./sessions.ts";

/** A step of which four tasks fit on an endpoint of four cores. */
function step(count: number, changes: Partial<StepSpec> = {}): StepSpec {
  const demand = { cpuMillis: 1_000, memoryMb: 100, gpus: 0 };
  return { ...plainStep(count, []), demand, ...changes };
}

function plan(
  jobs: readonly BookedJob[],
  sessions: readonly EndpointSession[],
  putOff: readonly string[] = [],
  times = new RunTimes(),
) {
  const policy = {
    isClosed: () => false,
    mayBeMoved: () => false,
    lacksTicket: () => false,
  };
  return planStarts(jobs, sessions, policy, {
    now: 0,
    wall: 0,
    runTimes: times,
    deferred: new Set(putOff),
  });
}

describe("a pass of placement", () => {
  describe("with a gang", () => {
    it("places all members, in one rack where they fit", () => {
      const sessions = [
        openSession("a", { labels: ["a", "r1"] }),
        openSession("b", { labels: ["a", "r2"] }),
        openSession("c", { labels: ["a", "r1"] }),
      ];
      const planned = plan(
        [bookedJob("gang", [step(6, { gang: true })])],
        sessions,
      );
      const used = new Set(planned.map((p) => p.endpoint));
      assert.equal(planned.length, 6);
      assert.deepEqual([...used].sort(), ["a", "c"]);
    });

    it("places none when one has no room, and leaves the room to others", () => {
      const gang = bookedJob("gang", [step(6, { gang: true })]);
      const single = bookedJob("single", [step(4)]);
      const planned = plan([gang, single], [openSession("a")]);
      assert.deepEqual(planned.map((p) => p.job.spec.id), [
        "single",
        "single",
        "single",
        "single",
      ]);
    });
  });

  it("spreads a step as it asks for", () => {
    const sessions = [openSession("a"), openSession("b")];
    const job = bookedJob("apart", [step(4, { maxPerEndpoint: 1 })]);
    const planned = plan([job], sessions);
    assert.deepEqual(planned.map((p) => p.endpoint).sort(), ["a", "b"]);
  });

  describe("in an overload", () => {
    const first = bookedJob("first", [step(4)]);
    const second = bookedJob("second", [step(4)]);

    it("starts jobs that are put off after those that are on time", () => {
      const planned = plan([first, second], [openSession("a")], ["first.0"]);
      assert.ok(planned.every((p) => p.job === second));
    });

    it("still starts them while there is room", () => {
      const sessions = [openSession("a"), openSession("b")];
      const planned = plan([first, second], sessions, ["first.0"]);
      assert.equal(planned.length, 8);
    });
  });

  describe("with more waiting tasks than the endpoints can take", () => {
    const jobs = Array.from(
      { length: 200 },
      (_, i) => bookedJob(`job-${i}`, [step(12)]),
    );

    it("fills what is free with the first jobs in order", () => {
      const full = openSession("full");
      for (let i = 0; i < 4; i++) {
        full.add(newRun("running", { name: `r${i}`, step: step(1) }));
      }
      const planned = plan(jobs, [full, openSession("free")]);
      assert.deepEqual(planned.map((p) => p.job), Array(4).fill(jobs[0]));
      assert.ok(planned.every((p) => p.endpoint === "free"));
    });

    it("still finds room for a smaller task of a later job", () => {
      const free = openSession("free");
      free.add(newRun("running", { step: step(1) }));
      const demand = { cpuMillis: 400, memoryMb: 100, gpus: 0 };
      const small = bookedJob("small", [step(1, { demand })]);
      const largeDemand = { cpuMillis: 3_500, memoryMb: 100, gpus: 0 };
      const large = bookedJob("large", [step(2, { demand: largeDemand })]);
      const planned = plan([large, ...jobs.slice(0, 1), small], [free]);
      const placed = planned.map((p) => p.job.spec.id);
      assert.deepEqual(placed, ["job-0", "job-0", "job-0"]);
      const later = plan([large, small], [free]);
      assert.deepEqual(later.map((p) => p.job), [small]);
    });

    it("leaves what is free to those in front, not to small tasks", () => {
      const free = openSession("free");
      free.add(newRun("running", { step: step(1) }));
      const largeDemand = { cpuMillis: 3_500, memoryMb: 100, gpus: 0 };
      const higherRanked = Array.from(
        { length: 20 },
        (_, i) => bookedJob(`front-${i}`, [step(2, { demand: largeDemand })]),
      );
      const demand = { cpuMillis: 400, memoryMb: 100, gpus: 0 };
      const small = bookedJob("small", [step(1, { demand })]);
      assert.deepEqual(plan([...higherRanked, small], [free]), []);
    });

    it("works the times of unchanged jobs out once", () => {
      class CountedTimes extends RunTimes {
        calls = 0;
        override expectedMs(queue: string, of: StepSpec): number {
          this.calls++;
          return super.expectedMs(queue, of);
        }
      }
      const times = new CountedTimes();
      const fresh = Array.from(
        { length: 50 },
        (_, i) => bookedJob(`fresh-${i}`, [step(12)]),
      );
      plan(fresh, [openSession("a")], [], times);
      const first = times.calls;
      plan(fresh, [openSession("a")], [], times);
      assert.ok(first > 0);
      assert.equal(times.calls, first);
    });
  });

  it("places nothing at an endpoint that is silent", () => {
    const silent = openSession("a");
    silent.noteSilence(0);
    assert.deepEqual(plan([bookedJob("job", [step(1)])], [silent]), []);
  });
});
