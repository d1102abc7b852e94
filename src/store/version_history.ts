/**
 * Remembers which version the store had when, so that the age of a row can be
 * told from its version: rows carry no times.
 */

/** Number of readings that are kept. */
const maxReadings = 32;

/** A version that the store had reached at a moment. */
interface VersionReading {
  readonly version: number;
  /** Monotonic time before that moment, in ms. */
  readonly at: number;
}

/** Recent versions of the store. */
export class VersionHistory {
  /** The oldest first. */
  readonly #readings: VersionReading[] = [];

  /**
   * Adds the newest version in the answer to a call that was sent at the
   * monotonic time `sentAt`, in ms.
   */
  add(version: number, sentAt: number): void {
    const newest = this.#readings.at(-1);
    if (newest !== undefined && sentAt < newest.at) return;
    this.#readings.push({ version, at: sentAt });
    if (this.#readings.length > maxReadings) this.#readings.shift();
  }

  /**
   * Whether a row of this version is known to have been written after the
   * monotonic time `time`, in ms.
   */
  isNewerThan(version: number, time: number): boolean {
    const reading = this.#readings.find(({ at }) => at >= time);
    return reading !== undefined && version > reading.version;
  }
}
