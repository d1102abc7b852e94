/** Checks the results of callers against the runs that endpoints recorded. */
import type { RequestResult } from "./caller.ts";
import type { RunRecord } from "./endpoint_server.ts";

/** Runs and limits that an endpoint recorded. */
export interface EndpointRecord {
  readonly name: string;
  readonly running: number;
  readonly maxRunning: number;
  readonly maxConnections: number;
  readonly boots: number;
  readonly runs: readonly RunRecord[];
}

/** Violations of the guarantees to callers. */
export interface Violations {
  /** Ids of requests that got another request's answer with code 1000. */
  readonly wrongAnswers: readonly string[];
  /** Ids of requests that ran although their result says `not-run`. */
  readonly falseNotRun: readonly string[];
  /** Idempotency keys of at-most-once classes that ran more than once. */
  readonly duplicates: readonly string[];
  /** Hosts that ran requests of two pools at the same time. */
  readonly mixedPools: readonly string[];
}

/** Finds all violations in the results and the endpoints' records. */
export function findViolations(
  results: readonly RequestResult[],
  records: readonly EndpointRecord[],
  onceClasses: readonly string[],
): Violations {
  const runMarks = new Set<string>();
  const runsPerKey = new Map<string, number>();
  for (const { runs } of records) {
    for (const run of runs) {
      runMarks.add(run.mark);
      if (!onceClasses.includes(run.class)) continue;
      const key = `${run.class}/${run.key}`;
      runsPerKey.set(key, (runsPerKey.get(key) ?? 0) + 1);
    }
  }
  return {
    wrongAnswers: results.filter((r) => r.code === 1000 && !r.isOwnAnswer)
      .map((r) => r.id),
    falseNotRun: results.filter((r) =>
      r.run === "not-run" && runMarks.has(r.id)
    )
      .map((r) => r.id),
    duplicates: [...runsPerKey].filter(([, n]) => n > 1).map(([key]) => key),
    mixedPools: records.filter((r) => hasPoolOverlap(r.runs)).map((r) =>
      r.name
    ),
  };
}

/** Returns whether two runs of different pools overlap in time. */
function hasPoolOverlap(runs: readonly RunRecord[]): boolean {
  const sorted = [...runs].sort((a, b) => a.startedAt - b.startedAt);
  let busyUntil = 0;
  let pool = "";
  for (const run of sorted) {
    const end = run.endedAt === 0 ? Infinity : run.endedAt;
    if (run.pool !== pool && run.startedAt < busyUntil) return true;
    if (run.pool !== pool) busyUntil = 0;
    pool = run.pool;
    busyUntil = Math.max(busyUntil, end);
  }
  return false;
}

/** Returns the total number of violations. */
export function countViolations(violations: Violations): number {
  return Object.values(violations)
    .reduce((n: number, list: readonly string[]) => n + list.length, 0);
}
