/** Whether a run stands still, as far as its endpoint tells. */
import { atWork, isHeard, startupMs } from "./availability.ts";
import type { EndpointSession, Run } from "./endpoint_session.ts";

/** Time without progress after which a run counts as standing still, in ms. */
const stallMs = 2_500;

/**
 * Least time over which an endpoint's lists must have shown no progress, in
 * ms: `stallMs` less a hold's wait.
 */
const minIdleMs = 1_500;

/**
 * Whether an endpoint that is heard of tells of no progress. One that is not
 * heard of says nothing about its runs. Of runs that end, members of a gang
 * wait for one another, and paced ones are slow by order: these never count.
 */
export function isStalled(
  session: EndpointSession,
  run: Run,
  now: number,
): boolean {
  if (!isHeard(session, now)) return false;
  const idleMs = session.toldAt - run.progressedAt;
  if (idleMs <= minIdleMs || now - run.progressedAt <= stallMs) return false;
  if (!run.step.longRunning) return !run.step.gang && run.pace === 100;
  return run.percent < atWork && now - run.changedAt > startupMs;
}
