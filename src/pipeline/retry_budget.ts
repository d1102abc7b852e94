/**
 * Retry budget: a token bucket that successes refill. It bounds retries to a
 * share of the successful requests, so retries cannot amplify an overload.
 */

/** Tokens that a success adds; a retry takes one token. */
const tokensPerSuccess = 0.1;
/** Size of the bucket in tokens. */
const maxTokens = 50;

/** An immutable retry budget. */
export class RetryBudget {
  /** A budget with a full bucket. */
  static readonly full = new RetryBudget(maxTokens);

  private constructor(readonly tokens: number) {}

  /** Returns the budget after a success. */
  earn(): RetryBudget {
    if (this.tokens === maxTokens) return this;
    return new RetryBudget(Math.min(maxTokens, this.tokens + tokensPerSuccess));
  }

  /** Whether a token is left for a retry. */
  get allows(): boolean {
    return this.tokens >= 1;
  }

  /** Returns the budget after a retry. */
  spend(): RetryBudget {
    return new RetryBudget(Math.max(0, this.tokens - 1));
  }
}
