/**
 * Keeps two kinds of orders to one endpoint apart: starts, and holds that let it
 * discard recorded ends. If both were on their way when the endpoint restarts, the
 * next incarnation could carry out both, and would never list the end of the run.
 */
export class DiscardGate {
  #unansweredStarts = 0;
  #isDiscarding = false;
  #isSlow = false;
  #waitingStarts: (() => void)[] = [];

  /** Whether a discard may be sent: no order of either kind is unanswered. */
  get mayDiscard(): boolean {
    return this.#unansweredStarts === 0 && !this.#isDiscarding;
  }

  /** Whether a discard is unanswered. */
  get isDiscarding(): boolean {
    return this.#isDiscarding;
  }

  /** Whether a discard is unanswered for so long that no start waits for it. */
  get isSlow(): boolean {
    return this.#isSlow;
  }

  /** Notes that a discard is sent. */
  beginDiscard(): void {
    this.#isDiscarding = true;
  }

  /** Notes that the discard is slow, so that the starts are given up. */
  markSlow(): void {
    this.#isSlow = true;
    this.#resumeStarts();
  }

  /** Notes that the discard has an outcome, and lets the starts go on. */
  endDiscard(): void {
    this.#isDiscarding = false;
    this.#isSlow = false;
    this.#resumeStarts();
  }

  /**
   * Calls `send` once no discard is unanswered. Calls `giveUp` instead if one is
   * slow.
   */
  async sendStart(
    send: () => Promise<void>,
    giveUp: () => void,
  ): Promise<void> {
    while (this.#isDiscarding) {
      if (this.#isSlow) return giveUp();
      await this.#change();
    }
    this.#unansweredStarts++;
    try {
      await send();
    } finally {
      this.#unansweredStarts--;
    }
  }

  #resumeStarts(): void {
    const waiting = this.#waitingStarts;
    this.#waitingStarts = [];
    for (const resume of waiting) resume();
  }

  #change(): Promise<void> {
    return new Promise((resolve) => this.#waitingStarts.push(resolve));
  }
}
