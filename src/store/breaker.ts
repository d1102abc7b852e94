/**
 * Circuit breaker around the store. It opens when the store has not answered
 * this entry for a while, so that requests that cannot be stored are rejected
 * at once.
 *
 * A store that refuses calls shows in failed calls. One that is silent fails
 * none of them before its timeout, so the breaker also opens while calls wait
 * for much longer than the answers before took.
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

/**
 * Shortest time without an answer, in ms, after which a store with waiting
 * calls counts as silent.
 */
const minUnansweredMs = 500;

/** The same time as a multiple of the mean duration of the answered calls. */
const unansweredPerMeanDuration = 3;

/** Weight of the latest call in the mean duration of the answered calls. */
const meanDurationWeight = 0.1;

/** A commit or a read that waits for its answer. */
interface WaitingCall {
  /** Monotonic time in ms. */
  readonly sentAt: number;
}

/** Details of a change between open and closed. */
export interface BreakerChange {
  readonly isOpen: boolean;
  /** Time since the previous answer, in ms. */
  readonly silentMs: number;
  /** Error message of the latest call; empty if it was answered. */
  readonly message: string;
}

/** Whether a failure shows that the store serves calls. */
function isAnswer({ kind }: StoreFailure): boolean {
  return kind === "expired" || kind === "invalid";
}

/** Wraps a store and tracks the outcome of its calls. */
export class StoreBreaker implements Store {
  #failures = 0;
  #answeredAt: number;
  #wasOpen = false;
  /** Waiting commits and reads, the oldest first. */
  readonly #waiting = new Set<WaitingCall>();
  /** Moving mean of the duration of answered commits and reads, in ms. */
  #meanDurationMs = 0;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly onChange: (change: BreakerChange) => void = () => {},
  ) {
    this.#answeredAt = clock.now();
  }

  /** Time since the last answer, in ms. */
  get silentMs(): number {
    return this.clock.now() - this.#answeredAt;
  }

  /**
   * Whether several calls in a row have failed over the minimum time, or calls
   * wait for too long without an answer.
   */
  get isOpen(): boolean {
    const isFailing = this.#failures >= minFailures &&
      this.silentMs > minSilenceMs;
    return isFailing || this.#isSilent;
  }

  commit(
    tx: StoreTransaction,
  ): Promise<Result<StoreCommitOutcome, StoreFailure>> {
    return this.#timed(() => this.store.commit(tx));
  }

  range(query: RangeQuery): Promise<Result<RangeResult, StoreFailure>> {
    return this.#timed(() => this.store.range(query));
  }

  async feed(
    table: string,
    after: number,
    waitMs: number,
  ): Promise<Result<FeedResult, StoreFailure>> {
    return this.record(await this.store.feed(table, after, waitMs));
  }

  /**
   * Records the outcome of a call and returns it. `expired` and `invalid` count
   * as answers of the store.
   */
  record<T>(outcome: Result<T, StoreFailure>): Result<T, StoreFailure> {
    const silentMs = this.clock.now() - this.#answeredAt;
    if (outcome.ok || isAnswer(outcome.val)) {
      this.#failures = 0;
      this.#answeredAt = this.clock.now();
      this.#reportChange(silentMs, "");
    } else {
      this.#failures++;
      this.#reportChange(silentMs, outcome.val.message);
    }
    return outcome;
  }

  /**
   * Whether a call has waited, without an answer to any other, for much longer
   * than calls take. Feeds are left out, because they wait for changes.
   */
  get #isSilent(): boolean {
    const [oldest] = this.#waiting;
    if (oldest === undefined) return false;
    const since = Math.max(oldest.sentAt, this.#answeredAt);
    const limitMs = Math.max(
      minUnansweredMs,
      unansweredPerMeanDuration * this.#meanDurationMs,
    );
    return this.clock.now() - since > limitMs;
  }

  /** Makes a commit or a read, tracks it while it waits, and records it. */
  async #timed<T>(
    call: () => Promise<Result<T, StoreFailure>>,
  ): Promise<Result<T, StoreFailure>> {
    const waiting = { sentAt: this.clock.now() };
    this.#reportChange(waiting.sentAt - this.#answeredAt, "no answer");
    this.#waiting.add(waiting);
    const outcome = await call();
    this.#waiting.delete(waiting);
    if (outcome.ok) this.#addDuration(this.clock.now() - waiting.sentAt);
    return this.record(outcome);
  }

  #addDuration(ms: number): void {
    this.#meanDurationMs += meanDurationWeight * (ms - this.#meanDurationMs);
  }

  /** Calls the listener if the breaker has opened or closed. */
  #reportChange(silentMs: number, message: string): void {
    const { isOpen } = this;
    if (isOpen === this.#wasOpen) return;
    this.#wasOpen = isOpen;
    this.onChange({ isOpen, silentMs: Math.round(silentMs), message });
  }
}
