/** Tests one life of the soak's endpoints against the page on running tasks. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { EndpointLife, type TaskWork } from "../../soak/life.ts";
import { pause, PlayClock } from "../../soak/pause.ts";
import { PlayRecord } from "../../soak/play_record.ts";

/** Id of the endpoint. */
const id = "i-1";

/** Time until a run ends by itself, in ms. */
const workMs = 120;

/** A lease that outlasts such a run, also beside load, in ms. */
const leaseMs = 1_000;

/** Largest difference between two readings within one order, in ms. */
const readingErrorMs = 5;

/** Time in which a timer fires, also beside load, in ms. */
const timerMs = 5_000;

/** What the tests read of an answer. */
interface Answer {
  readonly status: number;
  readonly clockMs?: number;
  readonly reason?: string;
  readonly born?: number;
  readonly running?: readonly (readonly unknown[])[];
  readonly finished?: readonly (readonly unknown[])[];
}

describe("a life of an endpoint", () => {
  let record: PlayRecord;
  let clock: PlayClock;
  let life: EndpointLife;
  let address: string;
  let work: TaskWork;

  /** Sends an order. */
  const send = async (
    path: string,
    body: object,
    to = id,
  ): Promise<Answer> => {
    const res = await fetch(`http://${address}/-/${path}`, {
      method: "POST",
      headers: { "expect-instance": to },
      body: JSON.stringify(body),
    });
    return { status: res.status, ...await res.json() as object };
  };

  /** Starts a run with a lease up to a time of the endpoint's clock. */
  const start = (task: string, run: number, deadlineMs = 5_000, fence = 1) =>
    send("run-start", { task, run, spec: "x", deadlineMs, fence });

  /** Resolves when the first run has ended. */
  const firstEnd = async () => {
    const until = performance.now() + timerMs;
    while (record.runs[0].end === undefined && performance.now() < until) {
      await pause(10);
    }
    return record.runs[0];
  };

  /** Sends a hold, which has to be accepted. */
  const hold = async (body: object) => {
    const answer = await send("hold", { fence: 1, ...body });
    assert.equal(answer.status, 200);
    return answer;
  };

  beforeEach(async () => {
    record = new PlayRecord();
    clock = new PlayClock();
    work = {
      needs: { cpu: 1_000, memMb: 100 },
      durationMs: workMs,
      fails: false,
    };
    const identity = {
      id,
      zone: "oita",
      pool: "billing",
      machine: "m-1",
      labels: [],
      capacity: { cpu: 2_000, memMb: 1_000 },
    };
    const findWork = (task: string) => task === "none" ? undefined : work;
    life = new EndpointLife(identity, 1, { clock, record, findWork });
    address = await life.listen();
  });

  afterEach(() => life.terminate());

  describe("takes a start", () => {
    beforeEach(() => {
      work = { ...work, durationMs: undefined };
    });

    it("once, however often it arrives", async () => {
      assert.equal((await start("a", 1)).status, 200);
      assert.equal((await start("a", 1)).status, 200);
      assert.equal(record.runs.length, 1);
    });

    it("only for its own id", async () => {
      const order = { task: "a", run: 1, deadlineMs: 5_000 };
      const answer = await send("run-start", order, "i-2");
      assert.equal(answer.status, 421);
      assert.equal(record.runs.length, 0);
    });

    const refusals = async (answer: Promise<Answer>) => (await answer).reason;

    it("unless its fence number is lower than one before", async () => {
      await send("hold", { fence: 4 });
      assert.equal(await refusals(start("a", 1, 5_000, 3)), "fence");
    });

    it("unless its lease is over", async () => {
      assert.equal(await refusals(start("a", 1, 0)), "late");
    });

    it("unless a run as high was stopped", async () => {
      await send("run-stop", { task: "a", run: 2, fence: 1 });
      assert.equal(await refusals(start("a", 2)), "old");
    });

    it("unless there is no room", async () => {
      await start("a", 1);
      await start("b", 1);
      assert.equal(await refusals(start("c", 1)), "room");
    });
  });

  describe("grants a lease", () => {
    beforeEach(() => {
      work = { ...work, durationMs: undefined };
    });

    it("up to the time of its clock that was asked for", async () => {
      const { clockMs = 0 } = await hold({});
      const deadlineMs = clockMs + leaseMs;
      const answer = await start("a", 1, deadlineMs);
      const { startedAt, endedAt = 0, end } = await firstEnd();
      assert.equal(end, "lapsed");
      const grantedMs = deadlineMs - (answer.clockMs ?? 0);
      const error = Math.abs(endedAt - startedAt - grantedMs);
      assert.ok(error <= readingErrorMs, `${error}`);
    });

    it("that never becomes shorter", async () => {
      await start("a", 1, 5_000);
      await hold({ deadlineMs: 50 });
      await pause(100);
      assert.equal(record.runs[0].end, undefined);
    });
  });

  describe("lists ends", () => {
    it("until they are taken note of", async () => {
      await start("a", 1);
      const { finished, born } = await hold({ waitMs: 1_000 });
      assert.deepEqual(finished, [[1, "a", 1, "done", ""]]);
      assert.equal(born, life.born);
      assert.equal(record.runs[0].notedAt, undefined);
      const later = await hold({ ackSeq: 1 });
      assert.deepEqual(later.finished, []);
      assert.ok(record.runs[0].notedAt !== undefined);
    });

    it("and does not count one as noted after its lease has lapsed", async () => {
      const { clockMs = 0 } = await hold({});
      await start("a", 1, clockMs + leaseMs);
      await firstEnd();
      await pause(leaseMs);
      await hold({ ackSeq: 1 });
      assert.equal(record.runs[0].end, "done");
      assert.equal(record.runs[0].notedAt, undefined);
    });

    // Guards against a blind spot of the soak: a number that a hold for the
    // former life brought held for the ends that there were, not for later ones.
    it("but none up to a number that was taken note of before", async () => {
      await hold({ ackSeq: 1 });
      await start("a", 1);
      const run = await firstEnd();
      assert.deepEqual((await hold({})).finished, []);
      assert.equal(run.notedAt, run.endedAt);
    });

    it("after a stop within its time", async () => {
      work = { ...work, durationMs: undefined };
      await start("a", 1);
      await send("run-stop", { task: "a", run: 1, fence: 1 });
      const { finished } = await hold({ waitMs: 1_000 });
      assert.deepEqual(finished, [[1, "a", 1, "stopped", ""]]);
    });
  });

  it("ends all runs when it crashes", async () => {
    await start("a", 1);
    life.terminate();
    assert.equal(record.runs[0].end, "gone");
  });
});
