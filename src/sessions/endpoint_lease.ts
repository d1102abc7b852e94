/**
 * The lease of an endpoint's runs as their owner knows it: the endpoint's clock,
 * and bounds on the end of what it may have granted.
 *
 * Times are of the owner's monotonic clock, in ms, unless stated otherwise.
 */

/**
 * Length of the lease that each hold or start asks for, in ms of the
 * endpoint's clock. It is longer than a change of owner takes, which is the
 * lease of a member plus one read of the members.
 */
export const taskLeaseMs = 5_000;

/** Maximum fraction by which an endpoint's clock may run slow. */
export const maxClockDrift = 0.02;

/**
 * Allowance for the delivery of an answer in the bound on a lease's end, in ms.
 */
export const answerDeliveryMs = 100;

/** Longest lease that an endpoint grants, in ms of its clock. */
const longestLeaseMs = 10_000;

/** Longest time from sending an order to its delivery, in ms: a hold's timeout. */
const maxDeliveryMs = 2_000;

/**
 * Maximum time for which a run can be in progress at an endpoint because of an
 * order that was meant for its earlier incarnation, in ms. The order asks for a
 * lease by the clock of the earlier incarnation, so that only the longest lease
 * limits it.
 */
export const maxUnsettledOrderMs = maxDeliveryMs +
  longestLeaseMs * (1 + maxClockDrift) + answerDeliveryMs;

/**
 * Error of a comparison of two readings of an endpoint's clock, in ms, within
 * which they are taken to be of one incarnation.
 */
const maxClockErrorMs = 20;

/** The same from which they are known to be of two, in ms. */
const minOtherClockMs = 500;

/**
 * Reading of an endpoint's clock, in ms, from which a next incarnation can't have
 * caught up with it when it answers an order: it starts after the reading, which
 * is up to {@link maxDeliveryMs} older than its receipt, and the answer takes half
 * of that. The rest is for the drift of the clock between the two.
 */
const minDistinctClockMs = 2 * maxDeliveryMs;

/** Times after which nothing can run at an endpoint unless its lease is extended. */
export interface LeaseBound {
  /** For acknowledged runs: they ended with the incarnation if it has ended. */
  readonly endsBy: number;
  /**
   * For other runs: a later incarnation may have carried out their start, and
   * have granted the longest lease. Not below `endsBy`.
   */
  readonly longestEndsBy: number;
}

/** The part of a run that decides which bound holds for it. */
export interface BoundedRun {
  /** Whether the incarnation of the endpoint's session has acknowledged it. */
  readonly isAcknowledged: boolean;
}

/** Time after which a run can't be in progress unless its lease is extended. */
export function runEndsBy(run: BoundedRun, bound: LeaseBound): number {
  return run.isAcknowledged ? bound.endsBy : bound.longestEndsBy;
}

/** The later of the ends in some bounds. */
export function latestBound(bounds: readonly LeaseBound[]): LeaseBound {
  const endsBy = Math.max(...bounds.map((each) => each.endsBy));
  const longest = Math.max(...bounds.map((each) => each.longestEndsBy));
  return { endsBy, longestEndsBy: Math.max(endsBy, longest) };
}

/** The bound of an endpoint that has granted nothing. */
export const noLease: LeaseBound = {
  endsBy: -Infinity,
  longestEndsBy: -Infinity,
};

/** The lease of one incarnation of an endpoint. */
export class EndpointLease {
  /** Reading of the endpoint's clock in its last answer. */
  #clockMs: number | undefined;
  /** Time at which that answer was received. */
  #clockReadAt = 0;
  #bound: LeaseBound;
  #hasOtherClock = false;

  /** @param inherited Bound of the leases that earlier owners granted. */
  constructor(inherited: LeaseBound) {
    this.#bound = inherited;
  }

  /** Bound of the leases that the endpoint may have granted. */
  get bound(): LeaseBound {
    return this.#bound;
  }

  /** Whether the endpoint's clock is known. */
  get isClockKnown(): boolean {
    return this.#clockMs !== undefined;
  }

  /**
   * Whether an order was answered with a clock that this incarnation can't have.
   */
  get hasOtherClock(): boolean {
    return this.#hasOtherClock;
  }

  /**
   * The end of the lease to ask for at `now`, in ms of the endpoint's clock;
   * undefined before its clock is known. Also advances {@link bound}, because the
   * endpoint may grant the lease even if its answer is lost.
   */
  nextLeaseUntil(now: number): number | undefined {
    if (this.#clockMs === undefined) return undefined;
    const endpointClockMs = this.#clockMs + (now - this.#clockReadAt);
    const until = Math.floor(endpointClockMs + taskLeaseMs);
    const maxRemainingMs = (until - this.#clockMs) * (1 + maxClockDrift);
    const endsBy = this.#clockReadAt + maxRemainingMs + answerDeliveryMs;
    const longestEndsBy = now + maxUnsettledOrderMs;
    this.#bound = latestBound([this.#bound, { endsBy, longestEndsBy }]);
    return until;
  }

  /** Records the endpoint's clock from an answer that was received at `now`. */
  recordClock(clockMs: number, now: number): void {
    this.#clockMs = clockMs;
    this.#clockReadAt = now;
  }

  /**
   * Compares the clock in the answer to an order that was sent at `sentAt` with
   * the one that is known; one that is behind is of another incarnation. Returns
   * whether it is certain to be of this one.
   */
  checkClock(clockMs: number, sentAt: number): boolean {
    if (this.#clockMs === undefined) return false;
    const elapsedMs = sentAt - this.#clockReadAt;
    const least = this.#clockMs +
      Math.min(elapsedMs, elapsedMs * (1 - maxClockDrift));
    this.#hasOtherClock ||= clockMs < least - minOtherClockMs;
    return this.#clockMs >= minDistinctClockMs &&
      clockMs >= least - maxClockErrorMs;
  }
}
