/** Tests of job submission while the store refuses calls. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { makeJob } from "../../sim/jobs.ts";
import { ModelStore } from "../../sim/model_store.ts";
import { queueForPool } from "../../sim/pools.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import { Err } from "ts-results";
import type { JobSpec } from "../../src/batch/index.ts";
import { codes } from "../../src/errors/index.ts";
import { Intake } from "../../src/intake/index.ts";
import {
  maxRowBytes,
  type Store,
  StoreBreaker,
} from "../../src/store/index.ts";

const entry = "e";

/** Deadline of a caller after its submission, in ms. */
const callerTimeoutMs = 3_000;

describe("a submission", () => {
  let clock: VirtualClock;
  let model: ModelStore;
  let breaker: StoreBreaker;
  let intake: Intake;
  let breakerChanges: boolean[];

  beforeEach(() => {
    clock = new VirtualClock();
    model = new ModelStore(clock, () => 1);
    const store: Store = model.connect(entry, new ProcessClock(clock));
    breakerChanges = [];
    breaker = new StoreBreaker(store, clock, ({ isOpen }) => {
      breakerChanges.push(isOpen);
    });
    intake = new Intake(breaker, clock, breaker);
  });

  /** Submits a job; returns the result code, 0 if accepted, and the duration. */
  async function submit(number: number, changes: Partial<JobSpec> = {}) {
    const startedAt = clock.now();
    const queue = queueForPool("quotes");
    const made = makeJob(number, "single", "quotes", clock.wall());
    const spec = { ...made, ...changes };
    const deadline = startedAt + callerTimeoutMs;
    let answer: { readonly code: number; readonly ms: number } | undefined;
    intake.submit({ queue, job: spec.id, deadline }, spec).then((result) => {
      const code = result.ok ? 0 : result.val.code.code;
      answer = { code, ms: clock.now() - startedAt };
    });
    while (answer === undefined) {
      await clock.advance(10);
      await clock.flush();
    }
    return answer;
  }

  /** The calls of the store behind the breaker. */
  function breakerCalls(): Store {
    return {
      commit: (tx) => breaker.commit(tx),
      range: (query) => breaker.range(query),
      feed: (table, after, waitMs) => breaker.feed(table, after, waitMs),
    };
  }

  /** Polls the store every 200 ms, like an entry that follows a table. */
  async function poll(times: number): Promise<void> {
    for (let i = 0; i < times; i++) {
      breaker.range({ table: "op", partition: "" });
      for (let ms = 0; ms < 200; ms += 10) {
        await clock.advance(10);
        await clock.flush();
      }
    }
  }

  it("is accepted once it is stored", async () => {
    assert.equal((await submit(1)).code, 0);
    assert.equal(model.table("inbox-quotes").length, 1);
  });

  // Guards against telling a caller "not run" about a job that was stored: an
  // intermediary may have sent the status that the store does not accept it.
  it("is not rejected when the store calls it invalid", async () => {
    const invalid = { kind: "invalid", message: "status 400" } as const;
    const commit = () => Promise.resolve(Err(invalid));
    intake = new Intake({ ...breakerCalls(), commit }, clock, breaker);
    assert.equal((await submit(1)).code, codes.recordUnknown.code);
  });

  // Guards against LOST: a job that no row holds can't be accepted.
  it("of a job that no row holds is rejected at once", async () => {
    const payload = "x".repeat(maxRowBytes);
    const { code, ms } = await submit(1, { payload });
    assert.equal(code, codes.jobTooLarge.code);
    assert.ok(ms <= 10, `${ms} ms`);
    assert.equal(model.table("inbox-quotes").length, 0);
  });

  describe("when several consecutive store calls have failed", () => {
    it("is rejected immediately, without a call to the store", async () => {
      model.setBehavior(entry, "refuses");
      await poll(5);
      const { code, ms } = await submit(1);
      assert.equal(code, codes.recordUnavailable.code);
      assert.ok(ms <= 10, `${ms} ms`);
      model.setBehavior(entry, "serves");
      await clock.advance(callerTimeoutMs);
      assert.equal(model.table("inbox-quotes").length, 0);
    });

    it("is accepted again after the first successful poll", async () => {
      model.setBehavior(entry, "refuses");
      await poll(5);
      model.setBehavior(entry, "serves");
      await poll(1);
      assert.equal((await submit(2)).code, 0);
      assert.deepEqual(breakerChanges, [true, false]);
    });
  });

  // Guards against requests that are taken in while the store is silent: the
  // breaker saw no failure before their timeout, and callers got no answer.
  describe("while the store is silent", () => {
    it("is rejected immediately once calls wait for half a second", async () => {
      await poll(5);
      model.setBehavior(entry, "silent");
      await poll(4);
      const { code, ms } = await submit(1);
      assert.equal(code, codes.recordUnavailable.code);
      assert.ok(ms <= 10, `${ms} ms`);
    });

    it("is accepted again once the store answers", async () => {
      model.setBehavior(entry, "silent");
      await poll(4);
      model.setBehavior(entry, "serves");
      await poll(1);
      assert.equal((await submit(2)).code, 0);
    });
  });

  describe("when a single store call has failed", () => {
    it("is accepted as soon as the store serves again", async () => {
      model.setBehavior(entry, "refuses");
      await poll(1);
      model.setBehavior(entry, "serves");
      assert.equal((await submit(3)).code, 0);
    });
  });

  // Guards against REFUSED: a job whose submission was answered with 503 runs,
  // because an earlier request for it had stored it or could still do so.
  describe("that repeats an earlier one for the same job", () => {
    it("waits for the earlier one, which is in flight", async () => {
      // The home of the queue is read first, once.
      await submit(9);
      model.delayFactor = 100;
      const first = submit(1);
      for (let ms = 0; ms < 250; ms += 10) await clock.advance(10);
      model.setBehavior(entry, "refuses");
      model.delayFactor = 1;
      const second = submit(1);
      assert.equal((await second).code, 0);
      assert.equal((await first).code, 0);
    });

    it("is not rejected after the earlier one had no answer", async () => {
      model.setBehavior(entry, "silent");
      assert.equal((await submit(1)).code, codes.recordUnknown.code);
      model.setBehavior(entry, "refuses");
      await poll(5);
      assert.equal((await submit(1)).code, codes.recordUnknown.code);
      assert.equal((await submit(2)).code, codes.recordUnavailable.code);
    });

    it("is accepted without the store after the earlier one", async () => {
      assert.equal((await submit(1)).code, 0);
      model.setBehavior(entry, "refuses");
      await poll(5);
      assert.equal((await submit(1)).code, 0);
    });

    it("is rejected if the earlier one was", async () => {
      model.setBehavior(entry, "refuses");
      assert.equal((await submit(1)).code, codes.recordUnavailable.code);
      assert.equal((await submit(1)).code, codes.recordUnavailable.code);
    });
  });
});
