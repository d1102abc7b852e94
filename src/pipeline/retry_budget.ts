/**
 * Retry budget: a token bucket that successes fill, so that retries stay a
 * bounded share of the successful work and cannot amplify an overload.
 */

const tokensPerSuccess = 0.1;
const maxTokens = 50;

/** An immutable retry budget. */
export class RetryBudget {
  static readonly full = new RetryBudget(maxTokens);

  private constructor(readonly tokens: number) {}

  /** The budget after a success. */
  earn(): RetryBudget {
    if (this.tokens === maxTokens) return this;
    return new RetryBudget(Math.min(maxTokens, this.tokens + tokensPerSuccess));
  }

  /** Whether a retry may be made. */
  get allows(): boolean {
    return this.tokens >= 1;
  }

  /** The budget after a retry. */
  spend(): RetryBudget {
    return new RetryBudget(Math.max(0, this.tokens - 1));
  }
}
