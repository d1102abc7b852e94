/** How many hosts a pool wants for its jobs. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import type { StepSpec } from "../../src/batch/index.ts";
import {
  computeHostDemand,
  type PoolEndpoint,
} from "../../src/capacity/index.ts";
import { openJob } from "../scheduler/jobs.ts";

/** An endpoint of four cores. */
const endpoint: PoolEndpoint = {
  id: "a",
  capacity: { cpuMillis: 4_000, memoryMb: 8_000, gpus: 0 },
  isOpen: true,
  runCount: 0,
  hasLongRunningRuns: false,
  silentMs: 0,
};

/** A long-running step of which two tasks may share an endpoint. */
const spreadStep: StepSpec = {
  ...plainStep(5, []),
  demand: { cpuMillis: 200, memoryMb: 100, gpus: 0 },
  longRunning: true,
  maxPerEndpoint: 2,
};

/** Returns the hosts wanted for steps and for arriving work. */
function hostsFor(steps: readonly StepSpec[], arrivingCpuMillis = 0): number {
  const jobs = steps.length === 0 ? [] : [openJob("job", steps)];
  return computeHostDemand(jobs, [endpoint], arrivingCpuMillis, () => false);
}

describe("the demand of a pool for hosts", () => {
  // Guards against spare hosts beside hosts with free cores: quiet pools kept
  // them while another pool was overloaded.
  it("counts the free cores of hosts that only spread tasks as spare", () => {
    assert.equal(hostsFor([spreadStep]), 3);
  });

  it("includes the capacity of a spare host beside waiting tasks", () => {
    const demand = { cpuMillis: 1_000, memoryMb: 100, gpus: 0 };
    assert.equal(hostsFor([{ ...plainStep(10, []), demand }]), 5);
  });

  it("includes the capacity of a spare host beside arriving work", () => {
    assert.equal(hostsFor([], 10_000), 5);
  });

  it("is two hosts without jobs", () => {
    assert.equal(hostsFor([]), 2);
  });
});
