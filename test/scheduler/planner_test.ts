/** One pass of placement: gangs, spreading and put-off jobs. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import { queueOf } from "../../sim/pools.ts";
import type { JobSpec, StepSpec } from "../../src/batch/index.ts";
import { openOccurrence } from "../../src/batch/index.ts";
import {
  type BookedJob,
  type EndpointSession,
  JobBook,
  planStarts,
  RunTimes,
} from "../../src/scheduler/index.ts";
import { openSession } from "./sessions.ts";

/** A step of which four tasks fit on an endpoint of four cores. */
function step(count: number, changes: Partial<StepSpec> = {}): StepSpec {
  const demand = { cpuMillis: 1_000, memoryMb: 100, gpus: 0 };
  return { ...plainStep(count, []), demand, ...changes };
}

function book(id: string, steps: readonly StepSpec[]): BookedJob {
  const { name, priority, maxAttempts, sloMs, stretch } = queueOf("quotes");
  const spec: JobSpec = {
    id,
    queue: name,
    payload: "",
    steps: [...steps],
    priority,
    maxAttempts,
    sloMs,
    stretch,
    advised: false,
    acceptedAt: 0,
  };
  const jobs = new JobBook();
  const value = JSON.stringify(spec);
  const row = { table: "", partition: "", key: id, value, version: 1 };
  const [job] = jobs.takeInbox([{ kind: "put", row }], 0);
  job.progress = openOccurrence(job.progress, spec);
  return job;
}

function plan(
  jobs: readonly BookedJob[],
  sessions: readonly EndpointSession[],
  putOff: readonly string[] = [],
) {
  const policy = {
    isClosed: () => false,
    isUnsettled: () => false,
    lacksTicket: () => false,
  };
  return planStarts(jobs, sessions, policy, {
    now: 0,
    wall: 0,
    times: new RunTimes(),
    putOff: new Set(putOff),
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
      const planned = plan([book("gang", [step(6, { gang: true })])], sessions);
      const used = new Set(planned.map((p) => p.endpoint));
      assert.equal(planned.length, 6);
      assert.deepEqual([...used].sort(), ["a", "c"]);
    });

    it("places none when one has no room, and leaves the room to others", () => {
      const gang = book("gang", [step(6, { gang: true })]);
      const single = book("single", [step(4)]);
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
    const job = book("apart", [step(4, { maxPerEndpoint: 1 })]);
    const planned = plan([job], sessions);
    assert.deepEqual(planned.map((p) => p.endpoint).sort(), ["a", "b"]);
  });

  describe("in an overload", () => {
    const first = book("first", [step(4)]);
    const second = book("second", [step(4)]);

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

  it("places nothing at an endpoint that is silent", () => {
    const silent = openSession("a");
    silent.noteAnswer(false, 0);
    assert.deepEqual(plan([book("job", [step(1)])], [silent]), []);
  });
});
