/** Detects runs that make no progress according to their endpoint's lists. */
import {
  fullyUpPercent,
  isUpToDate,
  startupTimeoutMs,
} from "./availability.ts";
import {
  type EndpointSession,
  holdWaitMs,
  type Run,
} from "../sessions/index.ts";

/** Time without progress after which a task's first run counts as stalled, in ms. */
const firstStallMs = 2_500;

/** Longest time without progress that a run is given, in ms. */
const maxStallMs = 600_000;

/**
 * Time without progress after which a run counts as stalled, in ms. Progress is
 * reported in whole percent, and one percent of a long task may take any time. So
 * the time doubles with each run of the task that was stopped for a stall.
 */
function stallTimeMs(earlierStalls: number): number {
  return Math.min(maxStallMs, firstStallMs * 2 ** earlierStalls);
}

/** Whether another run of the endpoint has made progress after this one. */
export function hasOtherProgress(session: EndpointSession, run: Run): boolean {
  return [...session.runs.values()].some((other) =>
    other !== run && other.percent > 0 &&
    other.progressedAt > run.progressedAt
  );
}

/**
 * Returns whether a run is stalled at the monotonic time `now` (ms), when
 * `earlierStalls` runs of its task have been stopped for a stall. No run of
 * an endpoint without recent lists counts as stalled, because its progress is
 * unknown. A long-running run counts only if it is not fully up after its
 * startup time. Of the other runs, members of a gang don't count, because they
 * wait for one another, and neither do runs with a reduced pace.
 */
export function isStalled(
  session: EndpointSession,
  run: Run,
  now: number,
  earlierStalls = 0,
): boolean {
  if (!isUpToDate(session, now)) return false;
  const stallMs = stallTimeMs(earlierStalls);
  const idleMs = session.lastAnswerAt - run.progressedAt;
  const minIdleMs = stallMs - holdWaitMs;
  if (idleMs <= minIdleMs || now - run.progressedAt <= stallMs) return false;
  if (!run.step.longRunning) return !run.step.gang && run.pace === 100;
  return run.percent < fullyUpPercent &&
    now - run.phaseChangedAt > startupTimeoutMs;
}
