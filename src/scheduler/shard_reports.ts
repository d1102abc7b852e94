/**
 * Rows in which a shard's owner publishes its counts of waiting jobs and
 * stores what its successor needs: its run time statistics, and the unconfirmed
 * discards.
 */
import {
  runTimesKey,
  unconfirmedDiscardsKey,
  waitingCountsKey,
} from "../batch/index.ts";
import { noUnconfirmedDiscards } from "../sessions/index.ts";
import type { RowPut } from "../store/index.ts";

/**
 * A row that is written when its value has changed, at most once per period.
 */
class PeriodicRow {
  #value: string;
  #writtenAt = -Infinity;

  constructor(private readonly periodMs: number, initial: string) {
    this.#value = initial;
  }

  /**
   * The value to write at the monotonic time `now`, in ms; undefined for none.
   */
  nextValue(value: () => string, now: number): string | undefined {
    if (now - this.#writtenAt < this.periodMs) return undefined;
    const next = value();
    if (next === this.#value) return undefined;
    this.#value = next;
    this.#writtenAt = now;
    return next;
  }

  /** Notes that a value is written before the period is over. */
  noteValue(value: string): void {
    this.#value = value;
  }
}

/** Minimum time between two writes of the counts of waiting jobs, in ms. */
const countsPeriodMs = 700;

/** Minimum time between two writes of the run time statistics, in ms. */
const runTimesPeriodMs = 2_000;

/**
 * Minimum time between two writes of the unconfirmed discards, in ms. New ones are
 * written at once besides, see {@link ShardReports.discardsRow}.
 */
const discardsPeriodMs = 2_000;

/** Sources of the reported values, encoded as they are stored. */
export interface ReportSources {
  /** Counts of waiting jobs by queue. */
  readonly encodeCounts: () => string;
  /** Run time statistics. */
  readonly encodeRunTimes: () => string;
  /** Unconfirmed discards. */
  readonly encodeUnconfirmedDiscards: () => string;
}

/** The report rows of one shard. */
export class ShardReports {
  readonly #counts = new PeriodicRow(countsPeriodMs, "");
  readonly #runTimes = new PeriodicRow(runTimesPeriodMs, "{}");
  readonly #discards = new PeriodicRow(discardsPeriodMs, noUnconfirmedDiscards);

  constructor(
    private readonly shard: string,
    private readonly sources: ReportSources,
  ) {}

  /** The present unconfirmed discards. */
  discardsRow(): RowPut {
    const value = this.sources.encodeUnconfirmedDiscards();
    this.#discards.noteValue(value);
    return { ...unconfirmedDiscardsKey(this.shard), value };
  }

  /** The rows that are due to be written at the monotonic time `now`, in ms. */
  changedRows(now: number): readonly RowPut[] {
    const counts = this.#counts.nextValue(this.sources.encodeCounts, now);
    const runTimes = this.#runTimes.nextValue(this.sources.encodeRunTimes, now);
    const discards = this.#discards.nextValue(
      this.sources.encodeUnconfirmedDiscards,
      now,
    );
    const rows: RowPut[] = [];
    if (counts !== undefined) {
      rows.push({ ...waitingCountsKey(this.shard), value: counts });
    }
    if (runTimes !== undefined) {
      rows.push({ ...runTimesKey(this.shard), value: runTimes });
    }
    if (discards !== undefined) {
      rows.push({ ...unconfirmedDiscardsKey(this.shard), value: discards });
    }
    return rows;
  }
}
