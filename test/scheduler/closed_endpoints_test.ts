/**
 * Endpoints that their pool has closed, as it wants fewer hosts, while tasks
 * wait that would fit there.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeJob, plainStep } from "../../sim/jobs.ts";
import { ModelStore } from "../../sim/model_store.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import {
  inboxKey,
  type JobSpec,
  type Resources,
} from "../../src/batch/index.ts";
import {
  EndpointRegistry,
  type RunningTask,
  type TaskOrders,
} from "../../src/endpoint/index.ts";
import { ShardOwner } from "../../src/scheduler/index.ts";
import { acquireLease } from "../cluster/acquire_lease.ts";
import { endpoint } from "./sessions.ts";

const shard = "quotes";

/** Number of endpoints of the pool; each has 16 cores and 64 GB. */
const endpointCount = 12;

const capacity = { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 };

/**
 * Time for which no task of a job may be running while one could, beside free
 * capacity, in ms (rule LOST).
 */
const maxIdleMs = 3_000;

/** Longest time that a hold is kept open, in ms. */
const holdMs = 200;

/** A task of which an endpoint has room for one. */
const largeDemand = { cpuMillis: 900, memoryMb: 52_000, gpus: 0 };

/** A task of which an endpoint has room for several beside a large one. */
const smallDemand = { cpuMillis: 900, memoryMb: 500, gpus: 0 };

/** Time from the start of an owner until a job of {@link jobOf} is late, in ms. */
const lateAfterMs = 5_000;

/** A job with one task, accepted at the virtual time 0. */
function jobOf(n: number, demand: Resources): JobSpec {
  const job = makeJob(n, "single", shard, new VirtualClock().wall());
  const steps = [{ ...plainStep(1, []), demand }];
  return { ...job, steps, sloMs: lateAfterMs, stretch: 0 };
}

/** Endpoints whose tasks never end. */
class EndlessEndpoints {
  /** Names of the started tasks by endpoint. */
  readonly runs = new Map<string, RunningTask[]>();
  readonly orders: TaskOrders;

  constructor(private readonly clock: VirtualClock) {
    const done = () =>
      Promise.resolve({ kind: "done", clockMs: undefined } as const);
    this.orders = {
      stop: done,
      pace: done,
      endIncarnation: () => {},
      start: ({ id }, { task, run }) => {
        const listed = { task, run, checkpoint: "", load: undefined };
        this.runs.set(id, [...this.#at(id), { ...listed, percent: 100 }]);
        return done();
      },
      hold: async ({ id, life }) => {
        await new Promise<void>((resolve) => clock.after(holdMs, resolve));
        const lists = { running: this.#progressing(id), ended: [] };
        return {
          kind: "lists",
          lists: { clockMs: clock.now(), life, hasMoreEnds: false, ...lists },
        };
      },
    };
  }

  /** Whether a job has a task that runs. */
  runsJob({ id }: JobSpec): boolean {
    return [...this.runs.values()].flat().some(({ task }) =>
      task.startsWith(`${id}.`)
    );
  }

  #at(id: string): readonly RunningTask[] {
    return this.runs.get(id) ?? [];
  }

  /** The runs of an endpoint; their progress changes all the time. */
  #progressing(id: string): readonly RunningTask[] {
    const percent = Math.floor(this.clock.now() / holdMs) % 100;
    return this.#at(id).map((run) => ({ ...run, percent }));
  }
}

/** A pool with some jobs whose owner has just started; others may follow. */
async function createPool(jobs: readonly JobSpec[]) {
  const clock = new VirtualClock();
  const model = new ModelStore(clock, () => 1);
  const store = model.connect("a", new ProcessClock(clock));
  const endpoints = new EndlessEndpoints(clock);
  const registry = new EndpointRegistry();
  registry.reset(
    Array.from(
      { length: endpointCount },
      (_, i) => endpoint(`e${i}`, { pool: shard, capacity }),
    ),
  );
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 10) {
      await clock.advance(10);
      await clock.flush();
    }
  };
  const submit = (added: readonly JobSpec[]) => {
    for (const job of added) {
      model.write(inboxKey(shard, job.id), JSON.stringify(job));
    }
  };
  submit(jobs);
  const acquired = acquireLease(store, clock, shard, "a");
  await advance(500);
  const owner = new ShardOwner({
    shard,
    lease: await acquired,
    previous: "ended",
    store,
    orders: endpoints.orders,
    advisor: { advise: () => Promise.reject(new Error("not used")) },
    registry,
    clock,
    log: { decision: () => {} },
    vacating: () => new Map(),
    refreshVacating: () => Promise.resolve(true),
    onCrash: (_, err) => assert.fail(String(err)),
    onLost: () => assert.fail("lost"),
  });
  const started = owner.start();
  await advance(2_000);
  assert.equal(await started, true);
  return { owner, endpoints, advance, submit };
}

describe("a pool that wants fewer hosts than it has", () => {
  describe("when a long task on each of them keeps them from moving", () => {
    // Guards against LOST: late jobs count for a quarter of their size, so most
    // endpoints were closed until their long tasks ended, and late jobs waited
    // beside them.
    it("lets no late job wait beside free capacity", async () => {
      const long = Array.from(
        { length: endpointCount },
        (_, i) => jobOf(i + 1, largeDemand),
      );
      const { owner, endpoints, advance, submit } = await createPool(long);
      await advance(lateAfterMs);
      assert.equal(endpoints.runs.size, endpointCount);
      const late = Array.from(
        { length: 160 },
        (_, i) => jobOf(100 + i, smallDemand),
      );
      submit(late);
      await advance(maxIdleMs);
      const idle = late.filter((job) => !endpoints.runsJob(job));
      assert.equal(idle.length, 0, `${idle.length} jobs have nothing running`);
      owner.stop();
    });
  });
});
