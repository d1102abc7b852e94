/**
 * Model of the network link of one entry: what arrives over it arrives in turn,
 * at a limited rate. A transfer that is withdrawn takes no more of the rate, as
 * its connection is reset.
 */
import type { VirtualClock } from "./virtual_clock.ts";

/** One transfer that waits or is under way. */
interface Transfer {
  bytesLeft: number;
  readonly onArrival: () => void;
}

/** Time between two looks at the transfers, in ms. */
const stepMs = 1;

/** Link of one entry. */
export class ModelLink {
  readonly #transfers: Transfer[] = [];
  #isBusy = false;
  /** Bytes that have passed. */
  bytesPassed = 0;

  /** @param bytesPerMs Rate of the link. */
  constructor(
    private readonly clock: VirtualClock,
    readonly bytesPerMs: number,
  ) {}

  /** Bytes that have not passed yet. */
  get waitingBytes(): number {
    return this.#transfers.reduce((sum, { bytesLeft }) => sum + bytesLeft, 0);
  }

  /**
   * Calls `onArrival` once `bytes` have passed behind all earlier transfers.
   * Returns a function that withdraws the transfer.
   */
  transfer(bytes: number, onArrival: () => void): () => void {
    const transfer = { bytesLeft: bytes, onArrival };
    this.#transfers.push(transfer);
    this.#run();
    return () => {
      const index = this.#transfers.indexOf(transfer);
      if (index >= 0) this.#transfers.splice(index, 1);
    };
  }

  /** Passes what the rate allows in each step, until nothing waits. */
  #run(): void {
    if (this.#isBusy || this.#transfers.length === 0) return;
    this.#isBusy = true;
    this.clock.after(stepMs, () => {
      this.#isBusy = false;
      this.#pass(this.bytesPerMs * stepMs);
      this.#run();
    });
  }

  #pass(most: number): void {
    let left = most;
    while (left > 0 && this.#transfers.length > 0) {
      const [first] = this.#transfers;
      const passed = Math.min(left, first.bytesLeft);
      first.bytesLeft -= passed;
      left -= passed;
      this.bytesPassed += passed;
      if (first.bytesLeft > 0) return;
      this.#transfers.shift();
      first.onArrival();
    }
  }
}
