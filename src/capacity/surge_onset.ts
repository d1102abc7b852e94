/**
 * Recognizes the beginning of a surge in the arrivals of a queue.
 *
 * After its quiet time a queue's rate multiplies within a second or two, while a
 * host takes about two seconds to become ready. Then the growth that chance can't
 * explain is only part of what comes: callers lose more by room that is missing
 * than a few hosts cost that come too early. A queue that grows while it is busy
 * is no onset.
 */

/** Work that arrived in one window. */
export interface ArrivedWork {
  readonly work: number;
  /** Sum of the squared work of the jobs, an estimate of the sum's variance. */
  readonly sumOfSquares: number;
}

/** Ratio of the work of two windows from which the first one counts as quiet. */
const quietRatio = 4;

/** Growth that counts as a surge, in standard deviations of the work. */
const significantDeviations = 2;

/**
 * Returns the growth of the work from one window to the next to be prepared for
 * if a surge begins; undefined if none does.
 * @param margin Room beyond the growth that pays, in standard deviations.
 */
export function onsetGrowth(
  previous: ArrivedWork,
  recent: ArrivedWork,
  margin: number,
): number | undefined {
  const growth = recent.work - previous.work;
  const deviation = Math.sqrt(previous.sumOfSquares + recent.sumOfSquares);
  if (recent.work < quietRatio * previous.work) return undefined;
  if (growth < significantDeviations * deviation) return undefined;
  return growth + margin * deviation;
}
