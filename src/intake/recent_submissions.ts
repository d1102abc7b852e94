/**
 * Remembers the recent submissions of an entry, so that a repeated one is not
 * reported as never stored when an earlier one has stored the job, or may have.
 */
import type { Clock } from "../clock/index.ts";

/**
 * Time for which a submission is remembered after its end, in ms. Callers
 * repeat a submission within seconds.
 */
const rememberedMs = 20_000;

/** What the submissions of one job have led to. */
interface Submissions {
  /** Number of submissions in progress. */
  inProgress: number;
  /** Whether a call to the store may have stored the job, or may still do so. */
  mayBeStored: boolean;
  isStored: boolean;
  /** Monotonic time of the last end, in ms. */
  endedAt: number;
}

/** What is known about a job from other submissions. */
export type KnownSubmission = "stored" | "unknown" | "none";

/** The recent submissions of an entry, by a key that identifies the job. */
export class RecentSubmissions {
  /** The one that ended last comes last. */
  readonly #byJob = new Map<string, Submissions>();

  constructor(private readonly clock: Clock) {}

  /** Records that a submission begins. Each call needs one of {@link end}. */
  begin(job: string): void {
    this.#forgetOld();
    const known = this.#byJob.get(job) ??
      { inProgress: 0, mayBeStored: false, isStored: false, endedAt: Infinity };
    known.inProgress++;
    this.#byJob.set(job, known);
  }

  /** Records that a call to the store may have stored the job. */
  recordUnknown(job: string): void {
    const known = this.#byJob.get(job);
    if (known !== undefined) known.mayBeStored = true;
  }

  /** Records that the job is stored. */
  recordStored(job: string): void {
    const known = this.#byJob.get(job);
    if (known !== undefined) known.isStored = true;
  }

  /** Records that a submission has ended. */
  end(job: string): void {
    const known = this.#byJob.get(job);
    if (known === undefined) return;
    known.inProgress--;
    known.endedAt = this.clock.now();
    this.#byJob.delete(job);
    const isOver = known.inProgress === 0 && !known.mayBeStored &&
      !known.isStored;
    if (!isOver) this.#byJob.set(job, known);
  }

  /** What is known about a job of which one submission is the asker's own. */
  known(job: string): KnownSubmission {
    const known = this.#byJob.get(job);
    if (known === undefined) return "none";
    if (known.isStored) return "stored";
    return known.mayBeStored || known.inProgress > 1 ? "unknown" : "none";
  }

  #forgetOld(): void {
    const oldest = this.clock.now() - rememberedMs;
    for (const [job, { inProgress, endedAt }] of this.#byJob) {
      if (inProgress > 0) continue;
      if (endedAt > oldest) return;
      this.#byJob.delete(job);
    }
  }
}
