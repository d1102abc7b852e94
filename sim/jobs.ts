/** Builders of the jobs that the simulation and the tests submit. */
import type { JobSpec, StepSpec } from "../src/batch/index.ts";
import { queueForPool } from "./pools.ts";

/**
 * Kinds of job: `single` has one task, `chain` three steps in sequence, `wide`
 * eight parallel tasks and a step that depends on them, `lasting` a
 * long-running step with a `maxUnavailable` of 1, and `poison` a task that
 * always fails.
 */
export const jobKinds = [
  "single",
  "chain",
  "wide",
  "lasting",
  "poison",
] as const;

/** One of `jobKinds`. */
export type JobKind = typeof jobKinds[number];

/**
 * A step of `count` short tasks without placement constraints. `after` lists
 * the indexes of the steps that it depends on.
 */
export function plainStep(count: number, after: readonly number[]): StepSpec {
  return {
    count,
    demand: { cpuMillis: 900, memoryMb: 500, gpus: 0 },
    estimateMs: 600,
    after: [...after],
    checkpoints: false,
    gang: false,
    rackLocal: false,
    label: "",
    rack: "",
    maxPerEndpoint: 0,
    speculative: false,
    longRunning: false,
    image: "",
    targetMs: 0,
    filler: false,
  };
}

function stepsOfKind(kind: JobKind): StepSpec[] {
  switch (kind) {
    case "single":
    case "poison":
      return [plainStep(1, [])];
    case "chain":
      return [plainStep(2, []), plainStep(1, [0]), plainStep(2, [1])];
    case "wide":
      return [plainStep(8, []), plainStep(2, [0])];
    case "lasting":
      return [{
        ...plainStep(3, []),
        demand: { cpuMillis: 500, memoryMb: 500, gpus: 0 },
        longRunning: true,
        maxPerEndpoint: 1,
        maxUnavailable: 1,
      }];
  }
}

/**
 * Builds a job whose id is `jobNumber` as 16 hexadecimal digits. Equal
 * arguments give equal jobs; `acceptedAtMs` is wall-clock time in ms.
 */
export function makeJob(
  jobNumber: number,
  kind: JobKind,
  pool: string,
  acceptedAtMs: number,
  workspace?: string,
): JobSpec {
  const queue = queueForPool(pool);
  return {
    id: jobNumber.toString(16).padStart(16, "0"),
    queue: queue.name,
    payload: kind === "poison" ? "poison" : `payload ${jobNumber}`,
    steps: stepsOfKind(kind),
    priority: queue.priority,
    maxAttempts: queue.maxAttempts,
    sloMs: queue.sloMs,
    stretch: queue.stretch,
    advised: queue.advised,
    acceptedAt: acceptedAtMs,
    ...(workspace !== undefined && { workspace }),
  };
}
