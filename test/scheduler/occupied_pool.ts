/**
 * A pool of equal endpoints under the real owner of its shard, on a virtual
 * clock. Tasks run until the test ends them, so that a test can leave a long
 * task on each endpoint, as a busy hour does. There are no faults, and no host is
 * moved.
 */
import assert from "node:assert/strict";
import { makeJob, plainStep } from "../../sim/jobs.ts";
import { ModelStore } from "../../sim/model_store.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import {
  inboxKey,
  type JobSpec,
  type StepSpec,
} from "../../src/batch/index.ts";
import {
  type EndedTask,
  EndpointRegistry,
  type RunningTask,
  type TaskOrders,
} from "../../src/endpoint/index.ts";
import { ShardOwner } from "../../src/scheduler/index.ts";
import { acquireLease } from "../cluster/acquire_lease.ts";
import { endpoint } from "./sessions.ts";

const shard = "quotes";

/** Number of endpoints of the pool. */
export const endpointCount = 12;

/** Capacity of each endpoint. */
export const capacity = { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 };

/** Longest time that a hold is kept open, in ms. */
const holdMs = 200;

/** Step of the virtual clock, in ms. */
const clockStepMs = 10;

/** Time that a new owner needs until it places tasks, in ms. */
const ownerStartMs = 2_000;

/**
 * Time from which the jobs that are left on the endpoints are late, in ms. They
 * are placed before that, as a pool closes endpoints once its jobs are late.
 */
const leftJobsLateAtMs = 8_000;

/** A step of `count` tasks that need the given CPU each, in thousandths. */
export function stepOf(
  count: number,
  cpuMillis: number,
  changes: Partial<StepSpec> = {},
): StepSpec {
  const demand = { cpuMillis, memoryMb: 500, gpus: 0 };
  return { ...plainStep(count, []), demand, ...changes };
}

/** A job with one step that is late from a virtual time (ms) on. */
export function jobOf(n: number, step: StepSpec, lateAtMs = 0): JobSpec {
  const job = makeJob(n, "single", shard, new VirtualClock().wall());
  return { ...job, steps: [step], sloMs: lateAtMs, stretch: 0 };
}

/** `count` jobs of one task each, numbered from `first`; see {@link jobOf}. */
export function jobsOf(
  count: number,
  first: number,
  cpuMillis: number,
  lateAtMs = 0,
): readonly JobSpec[] {
  return Array.from(
    { length: count },
    (_, i) => jobOf(first + i, stepOf(1, cpuMillis), lateAtMs),
  );
}

/** What one endpoint runs and has ended. */
interface EndpointState {
  running: readonly RunningTask[];
  ended: readonly EndedTask[];
}

/** Endpoints whose tasks run until they are ended by the test. */
class OccupiedEndpoints {
  readonly orders: TaskOrders;
  readonly #states = new Map<string, EndpointState>();

  constructor(private readonly clock: VirtualClock) {
    const done = () =>
      Promise.resolve({ kind: "done", clockMs: undefined } as const);
    this.orders = {
      stop: ({ id }, { task, run }) => {
        this.#end(id, ({ task: t, run: r }) => t === task && r === run);
        return done();
      },
      pace: done,
      endIncarnation: () => {},
      start: ({ id }, { task, run }) => {
        const state = this.#at(id);
        const started = { task, run, checkpoint: "", percent: 100 };
        state.running = [...state.running, { ...started, load: undefined }];
        return done();
      },
      hold: async ({ id, life }) => {
        await new Promise<void>((resolve) => clock.after(holdMs, resolve));
        const { ended } = this.#at(id);
        const running = this.#progressing(id);
        const lists = { running, ended, hasMoreEnds: false };
        return {
          kind: "lists",
          lists: { clockMs: clock.now(), life, ...lists },
        };
      },
    };
  }

  /** Numbers of running tasks by endpoint, without those that have none. */
  get runCounts(): readonly number[] {
    return [...this.#states.values()]
      .map(({ running }) => running.length)
      .filter((count) => count > 0);
  }

  /** Number of running tasks of a job. */
  countRuns({ id }: JobSpec): number {
    return [...this.#states.values()]
      .flatMap(({ running }) => running)
      .filter(({ task }) => task.startsWith(`${id}.`)).length;
  }

  /** Ends all tasks of some jobs as done. */
  endJobs(jobs: readonly JobSpec[]): void {
    const ids = new Set(jobs.map(({ id }) => id));
    for (const id of this.#states.keys()) {
      this.#end(id, ({ task }) => ids.has(task.split(".")[0]));
    }
  }

  #at(id: string): EndpointState {
    const state = this.#states.get(id) ?? { running: [], ended: [] };
    this.#states.set(id, state);
    return state;
  }

  #end(id: string, isEnding: (task: RunningTask) => boolean): void {
    const state = this.#at(id);
    const ending = state.running.filter(isEnding);
    const seq = state.ended.length + 1;
    const ended = ending.map(({ task, run }, i): EndedTask => (
      { seq: seq + i, task, run, end: "done", checkpoint: "" }
    ));
    state.running = state.running.filter((task) => !isEnding(task));
    state.ended = [...state.ended, ...ended];
  }

  /** The runs of an endpoint; their progress changes all the time. */
  #progressing(id: string): readonly RunningTask[] {
    const percent = 90 + Math.floor(this.clock.now() / holdMs) % 10;
    return this.#at(id).running.map((run) => ({ ...run, percent }));
  }
}

/** A pool, its owner and its clock. */
export interface OccupiedPool {
  readonly clock: VirtualClock;
  readonly owner: ShardOwner;
  readonly endpoints: OccupiedEndpoints;
  /** Decisions that the owner has logged. */
  readonly decisions: readonly LoggedDecision[];
  /** Advances the clock by some ms. */
  advance(ms: number): Promise<void>;
  submit(jobs: readonly JobSpec[]): void;
}

/** A line of the owner's log. */
export interface LoggedDecision {
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Creates a pool without jobs whose owner has just started. */
export async function createPool(): Promise<OccupiedPool> {
  const clock = new VirtualClock();
  const model = new ModelStore(clock, () => 1);
  const store = model.connect("a", new ProcessClock(clock));
  const endpoints = new OccupiedEndpoints(clock);
  const registry = new EndpointRegistry();
  registry.reset(
    Array.from(
      { length: endpointCount },
      (_, i) => endpoint(`e${i}`, { pool: shard, capacity }),
    ),
  );
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += clockStepMs) {
      await clock.advance(clockStepMs);
      await clock.flush();
    }
  };
  const acquired = acquireLease(store, clock, shard, "a");
  await advance(500);
  const decisions: LoggedDecision[] = [];
  const owner = new ShardOwner({
    shard,
    lease: await acquired,
    previous: { state: "ended" },
    areHeartbeatsLate: () => false,
    store,
    orders: endpoints.orders,
    catalog: { current: undefined },
    advisor: { advise: () => Promise.reject(new Error("not used")) },
    registry,
    clock,
    log: { decision: (event, fields) => decisions.push({ event, fields }) },
    vacating: () => new Map(),
    plannedVacates: () => new Set(),
    refreshVacating: () => Promise.resolve(true),
    onCrash: (_, err) => assert.fail(String(err)),
    onLost: () => assert.fail("lost"),
  });
  const started = owner.start();
  await advance(ownerStartMs);
  assert.equal(await started, true);
  const submit = (jobs: readonly JobSpec[]) => {
    for (const job of jobs) {
      model.write(inboxKey(shard, job.id), JSON.stringify(job));
    }
  };
  return { clock, owner, endpoints, decisions, advance, submit };
}

/**
 * Leaves one small, late task on each endpoint of a pool, as a busy time does:
 * large tasks fill the endpoints, so that the small ones are spread, and end.
 */
export async function leaveOneTaskEach(pool: OccupiedPool): Promise<void> {
  const large = jobsOf(endpointCount, 1, 15_000, leftJobsLateAtMs);
  pool.submit(large);
  await pool.advance(2_000);
  pool.submit(jobsOf(endpointCount, 101, 900, leftJobsLateAtMs));
  await pool.advance(2_000);
  assert.deepEqual(pool.endpoints.runCounts, Array(endpointCount).fill(2));
  pool.endpoints.endJobs(large);
  await pool.advance(3_000);
  assert.deepEqual(pool.endpoints.runCounts, Array(endpointCount).fill(1));
}
