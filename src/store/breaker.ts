/**
 * Circuit breaker around the store. It opens when the store has not answered
 * this entry for a while, so that requests that cannot be stored are rejected
 * at once.
 *
 * It only reports its state and blocks no calls. While it is open, the followed
 * tables are still polled a few times a second, and the first answered call
 * closes it.
 */
import type { Result } from "ts-results";
import type { Clock } from "../clock/index.ts";
import type {
  FeedResult,
  RangeQuery,
  RangeResult,
  Store,
  StoreCommitOutcome,
  StoreFailure,
  StoreTransaction,
} from "./store.ts";

/** Time without an answer before the breaker opens, in ms. */
const minSilenceMs = 400;

/** Consecutive failures that are required in addition. */
const minFailures = 4;

/** Details of a change between open and closed. */
export interface BreakerChange {
  readonly isOpen: boolean;
  /** Time since the previous answer, in ms. */
  readonly silentMs: number;
  /** Error message of the latest call; empty if it was answered. */
  readonly message: string;
}

/** Wraps a store and tracks the outcome of its calls. */
export class StoreBreaker implements Store {
  #failures = 0;
  #answeredAt: number;
  #wasOpen = false;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly onChange: (change: BreakerChange) => void = () => {},
  ) {
    this.#answeredAt = clock.now();
  }

  /** Whether several calls in a row have failed over the minimum time. */
  get isOpen(): boolean {
    return this.#failures >= minFailures &&
      this.clock.now() - this.#answeredAt > minSilenceMs;
  }

  async commit(
    tx: StoreTransaction,
  ): Promise<Result<StoreCommitOutcome, StoreFailure>> {
    return this.record(await this.store.commit(tx));
  }

  async range(query: RangeQuery): Promise<Result<RangeResult, StoreFailure>> {
    return this.record(await this.store.range(query));
  }

  async feed(
    table: string,
    after: number,
    waitMs: number,
  ): Promise<Result<FeedResult, StoreFailure>> {
    return this.record(await this.store.feed(table, after, waitMs));
  }

  /**
   * Records the outcome of a call and returns it. `expired` counts as an answer
   * of the store.
   */
  record<T>(outcome: Result<T, StoreFailure>): Result<T, StoreFailure> {
    const silentMs = this.clock.now() - this.#answeredAt;
    if (outcome.ok || outcome.val.kind === "expired") {
      this.#failures = 0;
      this.#answeredAt = this.clock.now();
      this.#reportChange(silentMs, "");
    } else {
      this.#failures++;
      this.#reportChange(silentMs, outcome.val.message);
    }
    return outcome;
  }

  /** Calls the listener if the breaker has opened or closed. */
  #reportChange(silentMs: number, message: string): void {
    const { isOpen } = this;
    if (isOpen === this.#wasOpen) return;
    this.#wasOpen = isOpen;
    this.onChange({ isOpen, silentMs: Math.round(silentMs), message });
  }
}
