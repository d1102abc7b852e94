/** Detects runs that make no progress according to their endpoint's lists. */
import {
  fullyUpPercent,
  isUpToDate,
  startupTimeoutMs,
} from "./availability.ts";
import type { EndpointSession, Run } from "./endpoint_session.ts";

/** Time without progress after which a run counts as stalled, in ms. */
const stallMs = 2_500;

/**
 * Minimum time from the last progress to the last received lists, in ms:
 * `stallMs` minus the time that a hold waits for changes.
 */
const minIdleMs = 1_500;

/**
 * Returns whether a run is stalled at the monotonic time `now` (ms). No run of
 * an endpoint without recent lists counts as stalled, because its progress is
 * unknown. A long-running run counts only if it is not fully up after its
 * startup time. Of the other runs, members of a gang don't count, because they
 * wait for one another, and neither do runs with a reduced pace.
 */
export function isStalled(
  session: EndpointSession,
  run: Run,
  now: number,
): boolean {
  if (!isUpToDate(session, now)) return false;
  const idleMs = session.lastAnswerAt - run.progressedAt;
  if (idleMs <= minIdleMs || now - run.progressedAt <= stallMs) return false;
  if (!run.step.longRunning) return !run.step.gang && run.pace === 100;
  return run.percent < fullyUpPercent &&
    now - run.phaseChangedAt > startupTimeoutMs;
}
