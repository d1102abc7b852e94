/** Judges what callers saw by what the endpoints recorded. */
import type { RequestResult } from "./caller.ts";
import type { RunRecord } from "./endpoint_server.ts";

/** An endpoint's record. */
export interface EndpointRecord {
  readonly name: string;
  readonly running: number;
  readonly maxRunning: number;
  readonly maxConnections: number;
  readonly boots: number;
  readonly runs: readonly RunRecord[];
}

/** Broken promises, each with its instances. */
export interface Violations {
  /** Answers with code 1000 that belong to another request. */
  readonly wrongAnswers: readonly string[];
  /** Refused as not run, and run all the same. */
  readonly falseNotRun: readonly string[];
  /** Keys of at-most-once classes that ran more than once. */
  readonly duplicates: readonly string[];
  /** Hosts that ran work of two pools at one time. */
  readonly mixedPools: readonly string[];
}

/** Compares the callers' ends with the endpoints' records. */
export function findViolations(
  results: readonly RequestResult[],
  records: readonly EndpointRecord[],
  onceClasses: readonly string[],
): Violations {
  const ranMarks = new Set<string>();
  const runsPerKey = new Map<string, number>();
  for (const { runs } of records) {
    for (const run of runs) {
      ranMarks.add(run.mark);
      if (!onceClasses.includes(run.class)) continue;
      const key = `${run.class}/${run.key}`;
      runsPerKey.set(key, (runsPerKey.get(key) ?? 0) + 1);
    }
  }
  return {
    wrongAnswers: results.filter((e) => e.code === 1000 && !e.isOwnAnswer)
      .map((e) => e.id),
    falseNotRun: results.filter((e) =>
      e.run === "not-run" && ranMarks.has(e.id)
    )
      .map((e) => e.id),
    duplicates: [...runsPerKey].filter(([, n]) => n > 1).map(([key]) => key),
    mixedPools: records.filter((r) => hasPoolOverlap(r.runs)).map((r) =>
      r.name
    ),
  };
}

/** Whether two runs of different pools overlap in time. */
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

/** Number of broken promises. */
export function countViolations(violations: Violations): number {
  return Object.values(violations)
    .reduce((n: number, list: readonly string[]) => n + list.length, 0);
}
