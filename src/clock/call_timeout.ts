/**
 * Timeouts of calls that leave out the delays of the calling process.
 *
 * A process that gets no CPU time, or blocks its own thread, finds expired timers
 * before it reads what has arrived meanwhile. Its own delay must not count as
 * silence of the called one. So a timeout is waited for in steps, of which each
 * counts for twice its length at the most. If it would expire with a step that took
 * longer, one more step follows, in which the process reads.
 */
import type { Clock } from "./clock.ts";

/** Number of steps of a timeout. */
const stepCount = 8;

/** Longest time that a step counts for, as a factor of its length. */
const maxStepFactor = 2;

/**
 * Calls `f` once the process has waited for `ms` without long delays of its own;
 * the returned function cancels the call.
 */
export function afterResponsive(
  clock: Clock,
  ms: number,
  f: () => void,
): () => void {
  const stepMs = ms / stepCount;
  const maxStepMs = stepMs * maxStepFactor;
  let leftMs = ms;
  let isExtended = false;
  let cancel: () => void = () => {};
  const wait = () => {
    const startedAt = clock.now();
    cancel = clock.after(Math.min(stepMs, leftMs), () => {
      const tookMs = clock.now() - startedAt;
      leftMs -= Math.min(tookMs, maxStepMs);
      if (leftMs <= 0 && tookMs > maxStepMs && !isExtended) {
        isExtended = true;
        leftMs = stepMs;
      }
      if (leftMs > 0) wait();
      else f();
    });
  };
  wait();
  return () => cancel();
}

/**
 * Creates a signal that is aborted after {@link afterResponsive}. The returned
 * function ends the wait; it must be called when the signal is of no more use.
 */
export function abortAfterResponsive(
  clock: Clock,
  ms: number,
): CallTimeout {
  const controller = new AbortController();
  const end = afterResponsive(
    clock,
    ms,
    () => controller.abort(new Error(`no response within ${ms} ms`)),
  );
  return { signal: controller.signal, end };
}

/** A signal for one call, and the end of its wait. */
export interface CallTimeout {
  readonly signal: AbortSignal;
  end(): void;
}
