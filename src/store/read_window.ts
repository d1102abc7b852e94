/**
 * Limits how many rows of long reads are on their way at once, so that short
 * calls over the same link, such as heartbeats, never wait long behind them.
 *
 * The limit begins low and grows for as long as more at once arrives faster, as
 * in the startup of a congestion control that estimates the bandwidth. A slow
 * store, whose answers are late but don't wait for one another, thus lets it
 * grow; a narrow link or a busy processor doesn't.
 */

/** Limit with which reads begin, in rows. */
const initialLimitRows = 8;

/**
 * Reads that share the first round however many have begun: those of the
 * partitions of one table begin together.
 */
const firstRoundReads = 8;

/** Lowest limit, after pages that did not arrive in time, in rows. */
const minLimitRows = 4;

/** Highest limit, in rows: a full page of each partition of a table. */
const maxLimitRows = 4_000;

/** Most rows of one page. */
const maxPageRows = 500;

/** Factor of the limit after a page that did not arrive in time. */
const shrinkFactor = 0.25;

/** Share of the limit whose arrival ends a round. */
const roundShare = 0.75;

/** Length of a round, in ms, below which the link is taken to be wide. */
const shortRoundMs = 50;

/** Rise of the rate from which the limit grows further. */
const growingRateFactor = 1.25;

/** Rise of the rate from which it is clear that nothing limits it yet. */
const unlimitedRateFactor = 1.6;

/** Factor of the limit after a round in which the rate has risen. */
const growthFactor = 2;

/** The same while nothing seems to limit the rate. */
const fastGrowthFactor = 4;

/** Leave to read one page. */
export interface PageGrant {
  /** Most rows that the page may have. */
  readonly maxRows: number;
  /** Round in which it was granted. */
  readonly round: number;
}

/** The window that the long reads of one table share. */
export class ReadWindow {
  #limitRows = initialLimitRows;
  #inFlightRows = 0;
  /** Reads that have begun and not ended. */
  #reads = 0;
  /** Wake the pages that wait for room, the first one first. */
  readonly #waiting: (() => void)[] = [];
  #round = 0;
  /** Time of the first grant of the round, in ms; undefined before it. */
  #roundStartedAt: number | undefined;
  /** Rows of the round that have arrived. */
  #roundRows = 0;
  /** Highest rate of an earlier round, in rows per ms; 0 before the first. */
  #bestRate = 0;

  /** @param now Returns the monotonic time in ms. */
  constructor(private readonly now: () => number) {}

  /** Whether no read is under way. */
  get isIdle(): boolean {
    return this.#reads === 0;
  }

  /** Tells that a read begins, which shares the window with the others. */
  beginRead(): void {
    this.#reads++;
  }

  /** Tells that a read has ended. */
  endRead(): void {
    this.#reads--;
    this.#wakeWaiting();
  }

  /** Takes room for a page, if there is any. */
  tryAcquire(): PageGrant | undefined {
    if (!this.#hasRoom()) return undefined;
    const maxRows = this.#pageRows;
    this.#inFlightRows += maxRows;
    this.#roundStartedAt ??= this.now();
    return { maxRows, round: this.#round };
  }

  /** Settles when there may be room again. */
  changed(): Promise<void> {
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  /**
   * Gives the room of a page back, of which `rows` have arrived; undefined if it
   * did not arrive in time.
   */
  release({ maxRows, round }: PageGrant, rows: number | undefined): void {
    this.#inFlightRows -= maxRows;
    if (rows === undefined) this.#shrink();
    else if (round === this.#round) this.#recordArrival(rows);
    this.#wakeWaiting();
  }

  #wakeWaiting(): void {
    for (const wake of this.#waiting.splice(0)) wake();
  }

  /** Reads that share the window. */
  get #sharingReads(): number {
    const isFirstRound = this.#bestRate === 0;
    return isFirstRound ? Math.max(this.#reads, firstRoundReads) : this.#reads;
  }

  /** Rows of the next page: its share of the window. */
  get #pageRows(): number {
    const share = Math.floor(this.#limitRows / this.#sharingReads);
    return Math.min(maxPageRows, Math.max(1, share));
  }

  #hasRoom(): boolean {
    return this.#inFlightRows === 0 ||
      this.#inFlightRows + this.#pageRows <= this.#limitRows;
  }

  /** Counts what has arrived in this round, and ends the round. */
  #recordArrival(rows: number): void {
    this.#roundRows += rows;
    if (this.#roundRows < roundShare * this.#limitRows) return;
    const elapsedMs = this.now() - (this.#roundStartedAt ?? 0);
    const rate = this.#roundRows / Math.max(1, elapsedMs);
    const limit = this.#limitRows * this.#growth(rate, elapsedMs);
    this.#limitRows = Math.min(maxLimitRows, limit);
    this.#bestRate = Math.max(this.#bestRate, rate);
    this.#beginRound();
  }

  /** Factor by which the limit grows after a round. */
  #growth(rate: number, elapsedMs: number): number {
    if (elapsedMs < shortRoundMs) return fastGrowthFactor;
    if (this.#bestRate === 0) return growthFactor;
    const rise = rate / this.#bestRate;
    if (rise >= unlimitedRateFactor) return fastGrowthFactor;
    return rise >= growingRateFactor ? growthFactor : 1;
  }

  #shrink(): void {
    this.#limitRows = Math.max(minLimitRows, this.#limitRows * shrinkFactor);
    this.#beginRound();
  }

  #beginRound(): void {
    this.#round++;
    this.#roundStartedAt = undefined;
    this.#roundRows = 0;
  }
}
