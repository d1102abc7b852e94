/**
 * Incarnations of endpoints whose session has ended: when their id gets another
 * session, and which leases may last until then.
 */
import { type LeaseBound, noLease } from "./endpoint_lease.ts";

/**
 * Time for which an incarnation that was given up gets no new session, in ms.
 * Meanwhile the registration may still name it.
 */
const reopenPauseMs = 2_000;

/** An incarnation whose session has ended. */
interface EndedIncarnation {
  readonly life: number;
  /** Bound of the leases that it may have granted. */
  readonly bound: LeaseBound;
  /** Monotonic time from which it may have another session, in ms. */
  readonly reopensAt: number;
}

/** Whether nothing about an incarnation matters any more. */
function isOver({ bound, reopensAt }: EndedIncarnation, now: number): boolean {
  return now > bound.longestEndsBy && now > reopensAt;
}

/** The last such incarnation of each id. Times are monotonic, in ms. */
export class EndedIncarnations {
  readonly #byId = new Map<string, EndedIncarnation>();

  /** Adds an incarnation whose session ends now. */
  add(id: string, life: number, bound: LeaseBound, now: number): void {
    for (const [other, ended] of this.#byId) {
      if (isOver(ended, now)) this.#byId.delete(other);
    }
    this.#byId.set(id, { life, bound, reopensAt: now });
  }

  /** Delays the next session of the incarnation that was added last. */
  delayReopening(id: string, now: number): void {
    const ended = this.#byId.get(id);
    if (ended === undefined) return;
    this.#byId.set(id, { ...ended, reopensAt: now + reopenPauseMs });
  }

  /** Whether an incarnation may have a session. */
  mayOpen(id: string, life: number, now: number): boolean {
    const ended = this.#byId.get(id);
    return ended?.life !== life || now >= ended.reopensAt;
  }

  /**
   * Bound of the leases that the orders of earlier sessions may have caused at
   * an incarnation. Orders to another one may have reached it.
   */
  boundOf(id: string, life: number): LeaseBound {
    const ended = this.#byId.get(id);
    if (ended === undefined) return noLease;
    if (ended.life === life) return ended.bound;
    const { longestEndsBy } = ended.bound;
    return { endsBy: longestEndsBy, longestEndsBy };
  }
}
