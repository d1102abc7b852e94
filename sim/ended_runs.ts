/**
 * Runs that have ended in one incarnation of a modelled endpoint and that no
 * hold order has confirmed as recorded. A confirmation also holds for the later
 * ends up to its sequence number: they are never listed.
 */
import type { EndedTask, EndKind } from "../src/endpoint/index.ts";

/** Number of ends that an endpoint lists at a time. */
const maxListedEnds = 500;

/** A run that has ended. */
interface EndedRun extends EndedTask {
  /**
   * Whether the lease lapsed after the run ended. The owner may then have
   * given the run up as lost, so the oracle does not count this end.
   */
  isLeaseLapsed: boolean;
}

/** The unconfirmed ends of one incarnation, by ascending sequence number. */
export class EndedRuns {
  #runs: EndedRun[] = [];
  #lastSeq = 0;
  /** Highest sequence number that a hold order has confirmed. */
  #confirmedSeq = 0;

  /** Number of ends that are not confirmed. */
  get size(): number {
    return this.#runs.length;
  }

  /**
   * Adds the end of a run under the next sequence number. Returns whether that
   * number is confirmed already, so that the end is not kept.
   */
  add(task: string, run: number, end: EndKind): boolean {
    const seq = ++this.#lastSeq;
    if (seq <= this.#confirmedSeq) return true;
    const checkpoint = "";
    this.#runs.push({ seq, task, run, end, checkpoint, isLeaseLapsed: false });
    return false;
  }

  /** Marks all ends as followed by a lapse of the lease. */
  markLeaseLapsed(): void {
    for (const run of this.#runs) run.isLeaseLapsed = true;
  }

  /**
   * Removes the ends up to `seq` and returns those of them that were confirmed
   * before the lease lapsed.
   */
  confirm(seq: number): readonly EndedTask[] {
    this.#confirmedSeq = Math.max(this.#confirmedSeq, seq);
    const confirmed = this.#runs.filter((r) => r.seq <= seq);
    this.#runs = this.#runs.filter((r) => r.seq > seq);
    return confirmed.filter((r) => !r.isLeaseLapsed);
  }

  /** Whether there are more ends than {@link list} returns. */
  get hasUnlisted(): boolean {
    return this.#runs.length > maxListedEnds;
  }

  /** The oldest ends, at most {@link maxListedEnds}. */
  list(): readonly EndedTask[] {
    return this.#runs.slice(0, maxListedEnds).map((
      { seq, task, run, end, checkpoint },
    ) => ({ seq, task, run, end, checkpoint }));
  }
}
