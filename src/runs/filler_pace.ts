/**
 * Controls the pace of filler tasks, which run on an endpoint's unused
 * capacity, so that serving tasks on the same endpoint meet their latency
 * target.
 *
 * The pace is the percentage of full speed that a filler is allowed. It falls
 * by more than half at each change while a serving task is near its target, and
 * rises in small steps while all serving tasks are well below it.
 */
import type { Run } from "../sessions/index.ts";

/** Ratio of latency to target at or above which fillers slow down. */
const slowDownRatio = 0.85;

/** Ratio of latency to target below which fillers speed up. */
const speedUpRatio = 0.55;

/** Factor by which the pace is multiplied in a slow-down. */
const slowDownFactor = 0.4;

/** A filler whose pace would fall below this percentage is paused. */
const minPacePercent = 15;

/** Increase of the pace in one speed-up, in percentage points. */
const speedUpStep = 15;

/** A run of a filler task and its new pace. */
export interface PaceChange {
  readonly run: Run;
  /** New pace, 0 (paused) to 100 (unrestricted). */
  readonly percent: number;
}

/**
 * Returns the highest ratio of tail latency to target among the serving runs;
 * undefined if none has reported a latency.
 */
export function highestLatencyRatio(runs: Iterable<Run>): number | undefined {
  let highest: number | undefined;
  for (const { step, load } of runs) {
    if (step.targetMs <= 0 || step.filler || load === undefined) continue;
    highest = Math.max(highest ?? 0, load / step.targetMs);
  }
  return highest;
}

/** Returns the pace changes that the reported latencies require. */
export function computePaceChanges(runs: Iterable<Run>): readonly PaceChange[] {
  const all = [...runs];
  const fillers = all.filter((run) => run.step.filler);
  if (fillers.length === 0) return [];
  const latencyRatio = highestLatencyRatio(all);
  const changes: PaceChange[] = [];
  for (const run of fillers) {
    const percent = nextPace(run.pace, latencyRatio);
    if (percent !== run.pace) changes.push({ run, percent });
  }
  return changes;
}

/** Returns the next pace of a filler, in percent. */
function nextPace(pace: number, latencyRatio: number | undefined): number {
  if (latencyRatio === undefined) return 100;
  // A negative pace means that the last pace order was not answered.
  const current = pace < 0 ? 100 : pace;
  if (latencyRatio >= slowDownRatio) {
    const reduced = Math.floor(current * slowDownFactor);
    return reduced < minPacePercent ? 0 : reduced;
  }
  if (latencyRatio < speedUpRatio) return Math.min(100, current + speedUpStep);
  return pace < 0 ? current : pace;
}
