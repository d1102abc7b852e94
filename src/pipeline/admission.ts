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

interface ClassUse {
  running: number;
  tokens: number;
  filledAt: number;
}

/** Counts the admitted requests of each class on this entry. */
export class Admission {
  #use = new Map<string, ClassUse>();

  constructor(private readonly clock: Clock) {}

  /**
   * Admits a request, or returns the limit that refuses it. Each admitted
   * request is followed by one `finish`.
   */
  admit(row: ClassRow, liveEntries: number): ResultCode | undefined {
    const use = this.#useOf(row, liveEntries);
    const share = Math.max(1, Math.ceil(row.concurrency / liveEntries));
    if (row.concurrency > 0 && use.running >= share) {
      return codes.concurrencyLimited;
    }
    if (row.rate > 0) {
      if (use.tokens < 1) return codes.rateLimited;
      use.tokens--;
    }
    use.running++;
    return undefined;
  }

  /** Ends an admitted request. */
  finish(row: ClassRow): void {
    const use = this.#use.get(row.name);
    if (use !== undefined) use.running--;
  }

  /** Admitted requests of a class at this moment. */
  running(name: string): number {
    return this.#use.get(name)?.running ?? 0;
  }

  #useOf(row: ClassRow, liveEntries: number): ClassUse {
    const now = this.clock.now();
    const rate = row.rate / liveEntries;
    const burst = Math.max(1, rate * burstSeconds);
    let use = this.#use.get(row.name);
    if (use === undefined) {
      use = { running: 0, tokens: burst, filledAt: now };
      this.#use.set(row.name, use);
    }
    const earned = (now - use.filledAt) / 1000 * rate;
    use.tokens = Math.min(burst, use.tokens + earned);
    use.filledAt = now;
    return use;
  }
}
