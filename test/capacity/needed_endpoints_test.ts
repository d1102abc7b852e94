/** On which endpoints waiting tasks have room. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import { noResources, type StepSpec } from "../../src/batch/index.ts";
import {
  neededEndpoints,
  type PoolEndpoint,
} from "../../src/capacity/index.ts";
import { openJob } from "../scheduler/jobs.ts";
import { poolEndpoint } from "./pool_endpoints.ts";

const capacity = { cpuMillis: 4_000, memoryMb: 8_000, gpus: 0 };

/** An endpoint with a run that uses half of it. */
const halfUsed = poolEndpoint("half", {
  runCount: 1,
  used: { ...noResources, cpuMillis: 2_000 },
});

/** Returns the needed endpoints for one job. */
function needed(
  endpoints: readonly PoolEndpoint[],
  steps: readonly StepSpec[],
  offered: readonly string[] = [],
  isLate = false,
  want = 0,
): readonly string[] {
  return [...neededEndpoints({
    jobs: [openJob("job", steps)],
    endpoints,
    offered: new Set(offered),
    isLate: () => isLate,
    want,
  })];
}

/** A step of tasks with one core each. */
function coreStep(count: number, changes: Partial<StepSpec> = {}): StepSpec {
  const demand = { cpuMillis: 1_000, memoryMb: 100, gpus: 0 };
  return { ...plainStep(count, []), demand, ...changes };
}

describe("the endpoints that waiting tasks need", () => {
  const empty = [poolEndpoint("a"), poolEndpoint("b")];

  describe("that can only be late", () => {
    const full = poolEndpoint("full", { runCount: 4, used: capacity });

    // Guards against a pool that gives no host away: late tasks kept all endpoints
    // open, one after another.
    it("are none if a wanted host has room once other tasks end", () => {
      const steps = [coreStep(8)];
      assert.deepEqual(needed([full, ...empty], steps, [], true, 1), []);
    });

    // Guards against LOST: the room of the wanted hosts is in too small pieces for
    // as long as tasks that last are there.
    it("are others if tasks that last leave no room there", () => {
      const lasting = { ...full, usedByLongRunning: capacity };
      const steps = [coreStep(1)];
      assert.deepEqual(needed([lasting, ...empty], steps, [], true, 1), ["a"]);
    });
  });

  it("are those in use before empty ones", () => {
    assert.deepEqual(needed([...empty, halfUsed], [coreStep(2)]), ["half"]);
    assert.deepEqual(needed([...empty, halfUsed], [coreStep(3)]), [
      "half",
      "a",
    ]);
  });

  it("are offered ones last", () => {
    assert.deepEqual(needed(empty, [coreStep(1)], ["a"]), ["b"]);
    assert.deepEqual(needed(empty, [coreStep(5)], ["a"]), ["b", "a"]);
  });

  it("are open ones", () => {
    const closed = poolEndpoint("a", { isOpen: false });
    assert.deepEqual(needed([closed, poolEndpoint("b")], [coreStep(1)]), ["b"]);
  });

  it("have fewer tasks of a step than its limit", () => {
    const step = coreStep(2, { maxPerEndpoint: 1 });
    assert.deepEqual(needed(empty, [step]), ["a", "b"]);
  });

  it("count for a share of the late tasks, at least one of a step", () => {
    assert.deepEqual(needed(empty, [coreStep(8)], [], true), ["a"]);
    assert.deepEqual(needed(empty, [coreStep(1)], [], true), ["a"]);
  });

  it("are none for tasks that fit nowhere", () => {
    const demand = { ...capacity, memoryMb: 8_001 };
    assert.deepEqual(needed(empty, [coreStep(1, { demand })]), []);
  });

  it("need no room for the cores of a filler", () => {
    const full = poolEndpoint("full", {
      runCount: 1,
      used: { ...noResources, cpuMillis: 4_000 },
    });
    const step = coreStep(3, { filler: true });
    assert.deepEqual(needed([...empty, full], [step]), ["full"]);
  });
});
