/** How many hosts a pool wants for its jobs. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { plainStep } from "../../sim/jobs.ts";
import type { StepSpec } from "../../src/batch/index.ts";
import { computeHostDemand } from "../../src/capacity/index.ts";
import { openJob } from "../scheduler/jobs.ts";
import { poolEndpoint } from "./pool_endpoints.ts";

/** An endpoint of four cores. */
const endpoint = poolEndpoint("a");

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
  return computeHostDemand({
    jobs,
    endpoints: [endpoint],
    knownHosts: [endpoint.capacity],
    arrivingCpuMillis,
    isLate: () => false,
  });
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

  // Guards against processes that run out of memory (Fault): a job with its sizes
  // in another unit made the pool want tens of millions of hosts.
  it("leaves out tasks that are larger than every known host", () => {
    const sizes = [
      { cpuMillis: 4_001, memoryMb: 100, gpus: 0 },
      { cpuMillis: 100, memoryMb: 8_000 * 1_048_576, gpus: 0 },
      { cpuMillis: 0, memoryMb: Number.MAX_SAFE_INTEGER, gpus: 0 },
    ];
    for (const demand of sizes) {
      const step = { ...plainStep(32, []), demand, maxPerEndpoint: 1 };
      assert.equal(hostsFor([step]), 2);
    }
  });

  it("includes the largest tasks that fit", () => {
    const demand = { cpuMillis: 4_000, memoryMb: 8_000, gpus: 0 };
    assert.ok(hostsFor([{ ...plainStep(8, []), demand }]) >= 9);
  });

  // Guards against LOST: the demand ignored GPUs, so that the hosts that have them
  // were closed while tasks waited for them.
  it("includes the hosts whose GPUs are asked for", () => {
    const demand = { cpuMillis: 100, memoryMb: 100, gpus: 1 };
    const jobs = [openJob("job", [{ ...plainStep(6, []), demand }])];
    const withGpu = { ...endpoint.capacity, gpus: 1 };
    const hosts = (capacity: typeof withGpu) =>
      computeHostDemand({
        jobs,
        endpoints: [endpoint, { ...endpoint, id: "b", capacity }],
        knownHosts: [capacity],
        arrivingCpuMillis: 0,
        isLate: () => false,
      });
    assert.equal(hosts(withGpu), 6);
    assert.equal(hosts({ ...withGpu, gpus: 4 }), 2);
    assert.equal(hosts(endpoint.capacity), 2);
  });

  it("is two hosts without jobs", () => {
    assert.equal(hostsFor([]), 2);
  });
});
