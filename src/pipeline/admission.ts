/**
 * Admission: the rate and concurrency limits of each class.
 *
 * A limit holds over all entries; each entry applies its equal share among
 * the live ones.
 */
import { codes, type ResultCode } from "../errors/index.ts";
import type { Clock } from "../clock/index.ts";
import type { ClassRow } from "../table/index.ts";

/** Seconds of the rate that an idle class may save up. */
const burstSeconds = 1;

interface ClassUsage {
  running: number;
  tokens: number;
  refilledAt: number;
}

/** Counts the admitted requests of each class on this entry. */
export class Admission {
  #usage = new Map<string, ClassUsage>();

  constructor(private readonly clock: Clock) {}

  /**
   * Admits a request, or returns the limit that refuses it. Each admitted
   * request is followed by one `finish`.
   */
  admit(row: ClassRow, liveEntries: number): ResultCode | undefined {
    const usage = this.#usageOf(row, liveEntries);
    const share = Math.max(1, Math.ceil(row.concurrency / liveEntries));
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

  /** Ends an admitted request. */
  finish(row: ClassRow): void {
    const usage = this.#usage.get(row.name);
    if (usage !== undefined) usage.running--;
  }

  /** Admitted requests of a class at this moment. */
  running(name: string): number {
    return this.#usage.get(name)?.running ?? 0;
  }

  #usageOf(row: ClassRow, liveEntries: number): ClassUsage {
    const now = this.clock.now();
    const rate = row.rate / liveEntries;
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
