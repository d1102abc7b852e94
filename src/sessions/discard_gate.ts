/**
 * Keeps two kinds of orders to one endpoint apart: starts, and holds that let it
 * discard recorded ends. If both were on their way when the endpoint restarts, the
 * next incarnation could carry out both, and would never list the end of the run.
 */
export class DiscardGate {
  #unansweredStarts = 0;
  #isDiscarding = false;
  #waitingStarts: (() => void)[] = [];

  /** Whether a discard may be sent: no order of either kind is unanswered. */
  get mayDiscard(): boolean {
    return this.#unansweredStarts === 0 && !this.#isDiscarding;
  }

  /** Notes that a discard is sent. */
  beginDiscard(): void {
    this.#isDiscarding = true;
  }

  /** Notes that the discard has an outcome, and lets the starts go on. */
  endDiscard(): void {
    this.#isDiscarding = false;
    const waiting = this.#waitingStarts;
    this.#waitingStarts = [];
    for (const resume of waiting) resume();
  }

  /** Sends a start with `send` once no discard is unanswered. */
  async sendStart(send: () => Promise<void>): Promise<void> {
    while (this.#isDiscarding) await this.#discardEnd();
    this.#unansweredStarts++;
    try {
      await send();
    } finally {
      this.#unansweredStarts--;
    }
  }

  #discardEnd(): Promise<void> {
    return new Promise((resolve) => this.#waitingStarts.push(resolve));
  }
}
