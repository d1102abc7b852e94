/**
 * The pace of tasks that fill an endpoint's unused capacity, so that those
 * which serve users beside them keep their latency target.
 *
 * The pace falls by half or more while a serving task is near its target,
 * and rises in small steps while all are well below it.
 */
import type { Run } from "./endpoint_session.ts";

/** Share of the target from which fillers are slowed down. */
const slowDownRatio = 0.85;

/** Share of the target below which fillers may speed up. */
const speedUpRatio = 0.55;

/** Factor of a slow-down. */
const slowDownFactor = 0.4;

/** Below this percentage a filler is paused. */
const minPacePercent = 15;

/** Percentage points of one speed-up. */
const speedUpStep = 15;

/** A run and the pace that it should get. */
export interface PaceChange {
  readonly run: Run;
  readonly percent: number;
}

/** Largest tail latency of serving runs as a share of the target. */
export function worstLoad(runs: Iterable<Run>): number | undefined {
  let highest: number | undefined;
  for (const { step, load } of runs) {
    if (step.targetMs <= 0 || step.filler || load === undefined) continue;
    highest = Math.max(highest ?? 0, load / step.targetMs);
  }
  return highest;
}

/** The changes of pace that the present loads ask for. */
export function paceRuns(runs: Iterable<Run>): readonly PaceChange[] {
  const all = [...runs];
  const fillers = all.filter((run) => run.step.filler);
  if (fillers.length === 0) return [];
  const latencyRatio = worstLoad(all);
  const changes: PaceChange[] = [];
  for (const run of fillers) {
    const percent = nextPace(run.pace, latencyRatio);
    if (percent !== run.pace) changes.push({ run, percent });
  }
  return changes;
}

function nextPace(pace: number, latencyRatio: number | undefined): number {
  if (latencyRatio === undefined) return 100;
  // A negative pace stands for an order without an answer.
  const current = pace < 0 ? 100 : pace;
  if (latencyRatio >= slowDownRatio) {
    const reduced = Math.floor(current * slowDownFactor);
    return reduced < minPacePercent ? 0 : reduced;
  }
  if (latencyRatio < speedUpRatio) return Math.min(100, current + speedUpStep);
  return pace < 0 ? current : pace;
}
