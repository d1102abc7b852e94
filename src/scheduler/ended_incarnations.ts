/** Incarnations of endpoints whose session has ended although they are listed. */

/**
 * Time for which an incarnation whose session has ended gets no new one, in ms.
 * Meanwhile the registration may still name it.
 */
const reopenPauseMs = 2_000;

/** An incarnation whose session has ended. */
interface EndedIncarnation {
  readonly life: number;
  /** Monotonic time in ms. */
  readonly endedAt: number;
}

/** The last such incarnation of each id, until the next session. */
export class EndedIncarnations {
  readonly #byId = new Map<string, EndedIncarnation>();

  /** Adds an incarnation; `endedAt` is a monotonic time in ms. */
  add(id: string, life: number, endedAt: number): void {
    this.#byId.set(id, { life, endedAt });
  }

  /** Whether an incarnation of the id was added since the last `delete`. */
  has(id: string): boolean {
    return this.#byId.has(id);
  }

  /** Whether this incarnation was added a short time before `now`, in ms. */
  isRecent(id: string, life: number, now: number): boolean {
    const ended = this.#byId.get(id);
    return ended?.life === life && now - ended.endedAt < reopenPauseMs;
  }

  /** Forgets the incarnation of an id. */
  delete(id: string): void {
    this.#byId.delete(id);
  }
}
