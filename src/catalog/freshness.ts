/**
 * Tracks how long ago the catalog in force was known to be the newest one, and
 * reads the catalog anew when that is too long ago.
 */
import { type Clock, delay } from "../clock/index.ts";

/** Pause after a failed read, in ms. */
const retryPauseMs = 40;

/** Age of the catalog in force. */
export class CatalogFreshness {
  #confirmedAt = -Infinity;
  /** The read in flight; requests that wait for the catalog share it. */
  #reading: Promise<boolean> | undefined;

  constructor(
    private readonly clock: Clock,
    /** Reads the newest catalog and puts it in force; false on failure. */
    private readonly read: () => Promise<boolean>,
  ) {}

  /** Records that the catalog in force was the newest one at `at` (ms). */
  confirm(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }

  /** Whether the catalog in force was the newest one at most `maxAgeMs` ago. */
  isConfirmed(maxAgeMs: number): boolean {
    return this.clock.now() - this.#confirmedAt <= maxAgeMs;
  }

  /**
   * Whether the catalog in force was the newest one at most `maxAgeMs` ago. If
   * it was not, reads it anew until the monotonic time `giveUpAt` (ms).
   */
  async ensure(maxAgeMs: number, giveUpAt: number): Promise<boolean> {
    const { clock } = this;
    while (!this.isConfirmed(maxAgeMs)) {
      this.#reading ??= this.#readOnce();
      if (await this.#reading) continue;
      if (clock.now() >= giveUpAt) return false;
      await delay(clock, retryPauseMs);
    }
    return true;
  }

  async #readOnce(): Promise<boolean> {
    const sentAt = this.clock.now();
    try {
      const succeeded = await this.read();
      if (succeeded) this.confirm(sentAt);
      return succeeded;
    } finally {
      this.#reading = undefined;
    }
  }
}
