/**
 * Remembers which version the store had when, so that bounds on the age of a row
 * can be told from its version: rows carry no times.
 */

/** Number of readings that are kept. */
const maxReadings = 32;

/** A version that the store had reached at a moment between two times. */
interface VersionReading {
  readonly version: number;
  /** Monotonic time before that moment, in ms. */
  readonly sentAt: number;
  /** Monotonic time after that moment, in ms. */
  readonly receivedAt: number;
}

/** Recent versions of the store. */
export class VersionHistory {
  /** The oldest first. */
  readonly #readings: VersionReading[] = [];

  /**
   * Adds the newest version in the answer to a call that was sent and answered
   * at the monotonic times `sentAt` and `receivedAt`, in ms.
   */
  add(version: number, sentAt: number, receivedAt: number): void {
    const newest = this.#readings.at(-1);
    if (newest !== undefined && sentAt < newest.sentAt) return;
    this.#readings.push({ version, sentAt, receivedAt });
    if (this.#readings.length > maxReadings) this.#readings.shift();
  }

  /**
   * Whether a row of this version is known to have been written after the
   * monotonic time `time`, in ms.
   */
  isNewerThan(version: number, time: number): boolean {
    const reading = this.#readings.find(({ sentAt }) => sentAt >= time);
    return reading !== undefined && version > reading.version;
  }

  /**
   * Returns the earliest monotonic time, in ms, by which a row of this version is
   * known to have been written; undefined if no answer tells.
   */
  writtenBy(version: number): number | undefined {
    const later = this.#readings.filter((each) => each.version >= version);
    if (later.length === 0) return undefined;
    return Math.min(...later.map(({ receivedAt }) => receivedAt));
  }
}
