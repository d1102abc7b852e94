/** Which endpoints a pool offers beside waiting tasks. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import { VirtualClock } from "../../sim/virtual_clock.ts";
import {
  noResources,
  type Resources,
  type StepSpec,
} from "../../src/batch/index.ts";
import {
  DemandReporter,
  type PoolEndpoint,
  type PoolJob,
} from "../../src/capacity/index.ts";
import { openJob } from "../scheduler/jobs.ts";

/** Capacity of each endpoint. */
const capacity: Resources = { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 };

/** What a lasting task reserves. */
const lastingUse: Resources = { cpuMillis: 2_000, memoryMb: 8_000, gpus: 0 };

/** Time between two reports, in ms. */
const reportIntervalMs = 200;

/** Three endpoints with a lasting task each, and five empty ones. */
const endpoints = ["a", "b", "c", "d", "e", "f", "g", "h"].map(
  (id, i): PoolEndpoint => ({
    id,
    capacity,
    used: i < 3 ? lastingUse : noResources,
    awaitsVacate: false,
    budgets: new Map(),
    usedByLongRunning: i < 3 ? lastingUse : noResources,
    labels: [id],
    isOpen: true,
    isSetAside: false,
    runCount: i < 3 ? 1 : 0,
    hasLongRunningRuns: i < 3,
    silentMs: 0,
  }),
);

/** A pool's reporter, and the endpoints that may get tasks. */
function setUp(
  pool: readonly PoolEndpoint[] = endpoints,
  onWrite: (value: string) => void = () => {},
) {
  const clock = new VirtualClock();
  const reporter = new DemandReporter({
    shard: "quotes",
    clock,
    log: { decision: () => {} },
    runTimes: { expectedMs: () => 1_000 },
    createLateFilter: () => () => false,
    write: ({ value }, onStored) => {
      onWrite(value);
      onStored();
    },
  });
  const report = (jobs: readonly PoolJob[]) => {
    clock.advance(reportIntervalMs);
    reporter.report({
      jobs,
      endpoints: pool,
      knownHosts: [capacity],
      minHosts: 0,
      usedShare: 0,
    });
  };
  const open = () =>
    pool.map(({ id }) => id).filter((id) =>
      !reporter.offers.isClosed(id, Infinity)
    );
  return { reporter, report, open };
}

/** Returns a job of one step with these tasks. */
function waitingJob(
  demand: Partial<Resources>,
  count = 1,
  changes: Partial<StepSpec> = {},
): PoolJob {
  const step = {
    ...plainStep(count, []),
    demand: { ...noResources, ...demand },
    ...changes,
  };
  return openJob("job", [step]);
}

describe("the endpoints that a pool leaves open", () => {
  // Guards against LOST: the demand is a sum, in which the free cores of three
  // hosts count as one piece, and all hosts that had room were offered and closed.
  it("have room in one piece for a task that no other has room for", () => {
    const { report, open } = setUp();
    report([waitingJob({ cpuMillis: 15_000 })]);
    assert.deepEqual(open(), ["a", "b", "c", "d"]);
  });

  it("have room for all such tasks at once", () => {
    const { report, open } = setUp();
    report([waitingJob({ cpuMillis: 15_000 }, 5)]);
    assert.deepEqual(open(), endpoints.map(({ id }) => id));
  });

  // Guards against LOST by the same cause: the label that a step needs.
  it("include one with the label that a step needs", () => {
    const { report, open } = setUp();
    report([waitingJob({ cpuMillis: 100 }, 1, { label: "h" })]);
    assert.ok(open().includes("h"));
  });

  // Guards against LOST by the same cause: GPUs that only some hosts have.
  it("include one with the GPU that a task needs", () => {
    const withGpu = { ...capacity, gpus: 1 };
    const mixed = endpoints.map((each) =>
      each.id === "h" ? { ...each, capacity: withGpu } : each
    );
    const { report, open } = setUp(mixed);
    report([waitingJob({ cpuMillis: 100, gpus: 1 })]);
    assert.ok(open().includes("h"));
  });

  // Guards against hosts that are kept without need.
  it("are as many as the sum says while the waiting tasks fit there", () => {
    const { report, open } = setUp();
    report([waitingJob({ cpuMillis: 1_000 })]);
    assert.deepEqual(open(), ["a", "b", "c"]);
  });

  it("include an offered one once a task needs its room", () => {
    const { report, open, reporter } = setUp();
    report([]);
    assert.equal(reporter.offers.offered.length, 5);
    report([waitingJob({ cpuMillis: 15_000 })]);
    assert.equal(reporter.offers.offered.length, 4);
    assert.deepEqual(open(), ["a", "b", "c", "d"]);
  });
});

describe("an endpoint that is set aside", () => {
  const setAside = { isOpen: false, isSetAside: true };

  /** The ids that the pool offers while three hosts have a lasting task. */
  function offeredBy(changes: Partial<PoolEndpoint>): readonly string[] {
    const pool = endpoints.map((each) =>
      each.id === "h" ? { ...each, ...setAside, ...changes } : each
    );
    const rows: string[] = [];
    const { report } = setUp(pool, (value) => rows.push(value));
    // Needs all hosts, so that no other is offered.
    report([waitingJob({ cpuMillis: 15_000 }, 5)]);
    return JSON.parse(rows[0]).offered;
  }

  it("is offered, as its host gets another endpoint when it moves", () => {
    assert.deepEqual(offeredBy({}), ["h"]);
  });

  it("is not offered before its runs have ended", () => {
    assert.deepEqual(offeredBy({ runCount: 1 }), []);
  });
});
