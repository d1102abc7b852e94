/** The played site: availability zones, pools, hosts, queues and the config. */
import { maxAttempts } from "./bounds.ts";
import type { HostPlan } from "./cloud.ts";
import type { Capacity, SubmittedStep } from "./play_record.ts";

/** Availability zones of entries and hosts. */
export const zones = ["fukuoka", "kumamoto", "kagoshima", "oita"] as const;

/** Number of entries; they are spread over the availability zones by turns. */
export const entryCount = 6;

/** Pools that queues lead to. */
export const busyPools = ["fitter-app", "fault-desk", "billing"] as const;

/** Pool whose hosts may be moved to the others. */
const sparePool = "admin-tools";

/** Hosts of each pool. */
const hostsPerPool = 8;

/** Resources of each host. */
export const hostCapacity: Capacity = { cpu: 16_000, memMb: 65_536 };

/** Authority of all queues. */
export const authority = "pule25.example";

/** A queue, and the jobs that callers send to it. */
export interface QueuePlan {
  readonly name: string;
  readonly pool: string;
  /** Steps of its jobs. */
  readonly steps: readonly SubmittedStep[];
}

/** Steps of a short check: 6 tasks of 1 s, at times followed by 6 more. */
const checkSteps: readonly SubmittedStep[] = [
  { count: 6, cpu: 880, memMb: 2_500, estRuntimeMs: 1_000 },
  { count: 6, cpu: 880, memMb: 2_500, estRuntimeMs: 1_000, after: [0] },
];

/** Steps of a run: twice 8 tasks of 2.1 s. */
const runSteps: readonly SubmittedStep[] = [
  { count: 8, cpu: 1_900, memMb: 4_000, estRuntimeMs: 2_100 },
  { count: 8, cpu: 1_900, memMb: 4_000, estRuntimeMs: 2_100, after: [0] },
];

/** Steps of a job of 5 tasks that last. */
const lastingSteps: readonly SubmittedStep[] = [{
  count: 5,
  cpu: 900,
  memMb: 1_000,
  estRuntimeMs: 0,
  longRunning: true,
  maxUnavailable: 1,
}];

/** Queues of jobs that end. */
export const endingQueues: readonly QueuePlan[] = [
  { name: "fit-check", pool: "fitter-app", steps: checkSteps },
  { name: "fault-diag", pool: "fault-desk", steps: runSteps },
  { name: "rent-bill", pool: "billing", steps: runSteps },
];

/** Queues of jobs that last. */
export const lastingQueues: readonly QueuePlan[] = [
  { name: "cell-log", pool: "fitter-app", steps: lastingSteps },
  { name: "warranty-audit", pool: "fault-desk", steps: lastingSteps },
  { name: "arrears-scan", pool: "billing", steps: lastingSteps },
];

/** Path that a queue's requests begin with. */
export function pathPrefix(queue: string): string {
  return `/${queue}/`;
}

/** The hosts of all pools. */
export function planHosts(): readonly HostPlan[] {
  return [...busyPools, sparePool].flatMap((pool) =>
    Array.from({ length: hostsPerPool }, (_, i) => {
      const zone = zones[i % zones.length];
      return {
        name: `m-${pool}-${i}`,
        pool,
        zone,
        labels: ["a", `r-${zone}`],
        capacity: hostCapacity,
      };
    })
  );
}

/** The operator's config, in the words of the wire. */
export function operatorConfig(): object {
  const queues = [...endingQueues, ...lastingQueues];
  return {
    version: 1,
    routes: queues.map(({ name, pool }) => ({
      name,
      host: authority,
      pathPrefix: pathPrefix(name),
      kind: "non_idempotent",
      timeoutMs: 3_000,
      sloMs: 600,
      priority: 0,
      backend: pool,
      maxAttempts,
      stretch: 1.6,
    })),
    services: [...busyPools, sparePool].map((name) => ({
      name,
      healthPath: "/health",
      maxConns: 64,
      protocol: "h1",
      tls: false,
      admissionControl: true,
      standby: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 262_144,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
