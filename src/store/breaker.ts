/**
 * Circuit breaker before the store: tells when the store has not answered this
 * entry for a while, so that what can't be stored is rejected at once.
 *
 * It holds nothing back. The polls of the followed tables go on while it is
 * open, a few a second, and the first call that is answered closes it.
 */
import type { Result } from "ts-results";
import type { Clock } from "../clock/index.ts";
import type {
  CommitOutcome,
  FeedResult,
  RangeQuery,
  RangeResult,
  Store,
  StoreFailure,
  Transaction,
} from "./store.ts";

/** Time without an answer after which the breaker opens, in ms. */
const minSilenceMs = 400;

/** Failures in a row that it takes as well. */
const minFailures = 4;

/** What the breaker went by when it opened or closed. */
export interface BreakerChange {
  readonly isOpen: boolean;
  /** Time since the answer before, in ms. */
  readonly silentMs: number;
  /** What the latest call ended with; empty for an answer. */
  readonly message: string;
}

/** A store that remembers how its calls went. */
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

  /** Whether the store has lately answered none of several calls. */
  get isOpen(): boolean {
    return this.#failures >= minFailures &&
      this.clock.now() - this.#answeredAt > minSilenceMs;
  }

  async commit(tx: Transaction): Promise<Result<CommitOutcome, StoreFailure>> {
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

  /** Takes note of the outcome of a call, and returns it. */
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

  #reportChange(silentMs: number, message: string): void {
    const { isOpen } = this;
    if (isOpen === this.#wasOpen) return;
    this.#wasOpen = isOpen;
    this.onChange({ isOpen, silentMs: Math.round(silentMs), message });
  }
}
