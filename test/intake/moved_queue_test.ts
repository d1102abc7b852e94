/** Jobs of a queue that the operator sends to another pool. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { makeJob } from "../../sim/jobs.ts";
import { ModelStore } from "../../sim/model_store.ts";
import { queueForPool } from "../../sim/pools.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import {
  cancelKey,
  encodeProgressRow,
  initialProgress,
  progressKey,
} from "../../src/batch/index.ts";
import type { Queue } from "../../src/catalog/index.ts";
import { Intake } from "../../src/intake/index.ts";
import { StoreBreaker } from "../../src/store/index.ts";

/** Time that callers wait for an answer, in ms. */
const callerTimeoutMs = 3_000;

const before = queueForPool("quotes");
const after: Queue = { ...before, pool: "invoices" };
const spec = makeJob(1, "single", "quotes", 0);

describe("a queue that is sent to another pool", () => {
  let clock: VirtualClock;
  let model: ModelStore;
  let one: Intake;
  let other: Intake;

  beforeEach(() => {
    clock = new VirtualClock();
    model = new ModelStore(clock, () => 1);
    one = createIntake("one");
    other = createIntake("other");
  });

  function createIntake(entry: string): Intake {
    const store = model.connect(entry, new ProcessClock(clock));
    const breaker = new StoreBreaker(store, clock);
    return new Intake(breaker, clock, breaker);
  }

  /** Advances the clock until a call of an intake is answered. */
  async function answered<T>(call: Promise<T>): Promise<T> {
    let answer: { readonly value: T } | undefined;
    call.then((value) => answer = { value });
    while (answer === undefined) {
      await clock.advance(5);
      await clock.flush();
    }
    return answer.value;
  }

  function request(queue: Queue, job = spec.id) {
    return { queue, job, deadline: clock.now() + callerTimeoutMs };
  }

  async function submit(intake: Intake, queue: Queue, job = spec.id) {
    const call = intake.submit(request(queue, job), { ...spec, id: job });
    return (await answered(call)).unwrap();
  }

  async function phase(intake: Intake, queue: Queue) {
    return (await answered(intake.jobPhase(request(queue)))).unwrap();
  }

  /** Ids of the jobs in a pool's inbox, without forwards. */
  function jobsIn(pool: string): readonly string[] {
    return model.table(`inbox-${pool}`)
      .filter(({ value }) => JSON.parse(value).steps !== undefined)
      .map(({ key }) => key);
  }

  function completeIn(pool: string): void {
    const done = { ...initialProgress, phase: "completed" } as const;
    const value = encodeProgressRow(spec, done, spec.id);
    model.write(progressKey(pool, spec.id), value);
  }

  // Guards against TWICE: rows were looked up in the queue's present pool only,
  // so that a repeated submission of a completed job ran it again there.
  it("does not run a job again that is submitted again", async () => {
    await submit(one, before);
    completeIn("quotes");
    await submit(other, after);
    assert.deepEqual(jobsIn("quotes"), [spec.id]);
    assert.deepEqual(jobsIn("invoices"), []);
  });

  // Guards against LOST: the state of an accepted job was "no such job".
  it("shows the state of its earlier jobs", async () => {
    await submit(one, before);
    assert.equal(await phase(other, after), "queued");
    completeIn("quotes");
    assert.equal(await phase(other, after), "completed");
  });

  // Guards against UNASKED: a cancel found no job, while its tasks went on.
  it("cancels its earlier jobs where they run", async () => {
    await submit(one, before);
    const cancelled = await answered(other.cancel(request(after)));
    assert.equal(cancelled.unwrap(), true);
    const { key } = cancelKey("quotes", spec.id);
    const keys = model.table("inbox-quotes").map((row) => row.key);
    assert.ok(keys.includes(key));
  });

  it("stores new jobs for its present pool", async () => {
    await submit(one, before, "a");
    await submit(one, after);
    assert.deepEqual(jobsIn("invoices"), [spec.id]);
    assert.equal(await phase(other, after), "queued");
    completeIn("invoices");
    assert.equal(await phase(other, after), "completed");
    const cancelled = await answered(other.cancel(request(after)));
    assert.equal(cancelled.unwrap(), true);
  });

  it("counts the waiting jobs of all its pools", async () => {
    for (const job of ["a", "b"]) await submit(one, before, job);
    for (const job of ["c", "d", "e"]) await submit(one, after, job);
    const deadline = clock.now() + callerTimeoutMs;
    const waiting = other.countWaiting(after, deadline);
    assert.equal((await answered(waiting)).unwrap(), 5);
    const present = other.countWaiting(before, deadline);
    assert.equal((await answered(present)).unwrap(), 5);
  });

  // Guards against TWICE: two entries that follow different versions stored one
  // job in two pools.
  describe("while entries follow different versions", () => {
    for (const [first, second] of [[before, after], [after, before]]) {
      it(`stores a job once, first in ${first.pool}`, async () => {
        await submit(one, before, "a");
        await submit(one, first);
        await submit(other, second);
        const stored = [...jobsIn("quotes"), ...jobsIn("invoices")];
        assert.deepEqual(stored.sort(), ["a", spec.id].sort());
      });
    }

    it("stores a job once that comes at both at the same time", async () => {
      await submit(one, before, "a");
      const calls = [submit(one, after), submit(other, before)];
      await Promise.all(calls);
      const stored = [...jobsIn("quotes"), ...jobsIn("invoices")];
      assert.deepEqual(stored.sort(), ["a", spec.id].sort());
    });

    it("finds the job from both", async () => {
      await submit(one, before, "a");
      await submit(one, after);
      completeIn("invoices");
      assert.equal(await phase(other, before), "completed");
      assert.equal(await phase(one, after), "completed");
    });
  });

  it("keeps a job where it is when it moves on, and back", async () => {
    const third: Queue = { ...before, pool: "spare" };
    await submit(one, before, "a");
    await submit(one, after);
    await submit(createIntake("third"), third);
    await submit(createIntake("fourth"), before);
    assert.deepEqual(jobsIn("invoices"), [spec.id]);
    assert.deepEqual([jobsIn("quotes"), jobsIn("spare")], [["a"], []]);
  });

  it("completes the submission of an entry that ended half way", async () => {
    await submit(one, before, "a");
    const process = new ProcessClock(clock);
    const breaker = new StoreBreaker(model.connect("dying", process), clock);
    const dying = new Intake(breaker, clock, breaker);
    dying.submit(request(after), spec);
    const isForwarded = () => model.table("inbox-quotes").length === 2;
    for (let ms = 0; ms < 100 && !isForwarded(); ms++) {
      await clock.advance(1);
      await clock.flush();
    }
    process.kill();
    assert.ok(isForwarded());
    await submit(other, after);
    assert.deepEqual(jobsIn("invoices"), [spec.id]);
  });
});
