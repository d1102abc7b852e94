/** Rows in which a shard's owner tells others what it counts and learns. */
import { countsKey, learnedKey } from "../batch/index.ts";
import type { RowPut } from "../store/index.ts";

/** A row that is written when it has changed, but not too often. */
class PeriodicRow {
  #value: string;
  #writtenAt = -Infinity;

  constructor(private readonly periodMs: number, initial: string) {
    this.#value = initial;
  }

  /** The value to write now, if any. */
  nextValue(value: () => string, now: number): string | undefined {
    if (now - this.#writtenAt < this.periodMs) return undefined;
    const next = value();
    if (next === this.#value) return undefined;
    this.#value = next;
    this.#writtenAt = now;
    return next;
  }
}

/** Least time between two writes of the waiting counts, in ms. */
const countsPeriodMs = 700;

/** Least time between two writes of the learned run times, in ms. */
const learnedPeriodMs = 2_000;

/** What is reported, in its stored form. */
export interface ReportSources {
  readonly encodeCounts: () => string;
  readonly encodeLearned: () => string;
}

/** Reports of one shard. */
export class ShardReports {
  readonly #counts = new PeriodicRow(countsPeriodMs, "");
  readonly #learned = new PeriodicRow(learnedPeriodMs, "{}");

  constructor(
    private readonly shard: string,
    private readonly sources: ReportSources,
  ) {}

  /** The rows to write at the steady time `now`. */
  changedRows(now: number): readonly RowPut[] {
    const counts = this.#counts.nextValue(this.sources.encodeCounts, now);
    const learned = this.#learned.nextValue(this.sources.encodeLearned, now);
    const rows: RowPut[] = [];
    if (counts !== undefined) {
      rows.push({ ...countsKey(this.shard), value: counts });
    }
    if (learned !== undefined) {
      rows.push({ ...learnedKey(this.shard), value: learned });
    }
    return rows;
  }
}
