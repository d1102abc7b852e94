/**
 * How much room beyond the expected work pays, when a surge begins.
 *
 * A missing core costs callers the work that it would have done on time. A core
 * that stands ready costs its price, given in core-seconds of work on time. The
 * expected sum of both is least at the quantile `1 / (1 + price)` of the work
 * that may come (the newsvendor problem).
 */

/**
 * Returns the quantile of the work to be expected up to which room pays, 0 to 1.
 * @param readyPrice Core-seconds of work on time that a ready core-second costs.
 */
export function readyQuantile(readyPrice: number): number {
  return 1 / (1 + readyPrice);
}

/** Coefficients of the rational approximation of the normal quantile. */
const numerator = [2.515517, 0.802853, 0.010328] as const;
const denominator = [1, 1.432788, 0.189269, 0.001308] as const;

function polynomial(coefficients: readonly number[], x: number): number {
  return coefficients.reduceRight((sum, each) => sum * x + each, 0);
}

/**
 * Quantile of the standard normal distribution (Abramowitz and Stegun 26.2.23,
 * error under 0.00045).
 * @param probability Above 0 and below 1.
 */
export function normalQuantile(probability: number): number {
  const tail = Math.min(probability, 1 - probability);
  const t = Math.sqrt(-2 * Math.log(tail));
  const value = t - polynomial(numerator, t) / polynomial(denominator, t);
  return probability < 0.5 ? -value : value;
}

/**
 * Room beyond the expected work that pays, in standard deviations of that work;
 * below 0 where a ready core costs more than callers lose without it.
 */
export function readyMargin(readyPrice: number): number {
  return normalQuantile(readyQuantile(readyPrice));
}
