/**
 * Admission control: the rate and concurrency limits of each request class.
 *
 * A limit applies to all entries together. Each entry enforces an equal share,
 * the limit divided by the number of live entries.
 */
import { codes, type ResultCode } from "../errors/index.ts";
import type { Clock } from "../clock/index.ts";
import type { ClassRow } from "../table/index.ts";

/** Size of a class's token bucket, in seconds of its rate. */
const burstSeconds = 1;

/** Use of one class's limits on this entry. */
interface ClassUsage {
  /** Admitted requests that have not finished. */
  running: number;
  /** Tokens in the bucket of the rate limit; a request takes one. */
  tokens: number;
  /** Monotonic time in ms of the last refill. */
  refilledAt: number;
}

/** Enforces this entry's share of the limits of each class. */
export class Admission {
  #usage = new Map<string, ClassUsage>();

  constructor(private readonly clock: Clock) {}

  /**
   * Admits a request and returns undefined, or returns `concurrencyLimited` or
   * `rateLimited`. The caller calls `finish` once for each admitted request.
   */
  admit(row: ClassRow, liveEntryCount: number): ResultCode | undefined {
    const usage = this.#usageOf(row, liveEntryCount);
    const share = Math.max(1, Math.ceil(row.concurrency / liveEntryCount));
    if (row.concurrency > 0 && usage.running >= share) {
      return codes.concurrencyLimited;
    }
    if (row.rate > 0) {
      if (usage.tokens < 1) return codes.rateLimited;
      usage.tokens--;
    }
    usage.running++;
    return undefined;
  }

  /** Records the end of an admitted request. */
  finish(row: ClassRow): void {
    const usage = this.#usage.get(row.name);
    if (usage !== undefined) usage.running--;
  }

  /** Returns the number of admitted requests of a class that are not finished. */
  running(name: string): number {
    return this.#usage.get(name)?.running ?? 0;
  }

  /** Returns the usage of a class with its token bucket refilled. */
  #usageOf(row: ClassRow, liveEntryCount: number): ClassUsage {
    const now = this.clock.now();
    const rate = row.rate / liveEntryCount;
    const burst = Math.max(1, rate * burstSeconds);
    let usage = this.#usage.get(row.name);
    if (usage === undefined) {
      usage = { running: 0, tokens: burst, refilledAt: now };
      this.#usage.set(row.name, usage);
    }
    const refill = (now - usage.refilledAt) / 1000 * rate;
    usage.tokens = Math.min(burst, usage.tokens + refill);
    usage.refilledAt = now;
    return usage;
  }
}
