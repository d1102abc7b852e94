/** One connection of a client, and its requests without complete response. */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { ConnectionBudget } from "./budget.ts";
import type { GuardedRequest } from "./request.ts";
import type { ClientLimit } from "./limit_events.ts";
import { PendingLines } from "./pending_lines.ts";

/** Memory of an open connection without its requests, in bytes. */
const connectionBytes = 4_096;

/** Part of it that is for lines which are not complete, in bytes. */
const includedLinesBytes = 2_048;

/** A connection that is part of a budget. */
export class GuardedConnection {
  /** Address of the client. */
  readonly address: string;
  /** Requests whose response is not complete, the oldest first. */
  readonly requests = new Set<GuardedRequest>();
  /** Monotonic time of the last progress, in ms. */
  progressAt: number;
  /** Bytes that the budget charges this connection with; set by the budget. */
  heldBytes = 0;
  readonly #pendingLines = new PendingLines();
  /** Bytes that the pending lines are charged with. */
  #linesCharge = 0;

  constructor(
    private readonly budget: ConnectionBudget,
    private readonly socket: Socket,
  ) {
    this.address = socket.remoteAddress ?? "";
    this.progressAt = budget.clock.now();
    budget.add(this);
    if (!this.charge(connectionBytes)) this.destroy();
  }

  /** Whether the connection is closed or about to be. */
  get isDestroyed(): boolean {
    return this.socket.destroyed;
  }

  /** Whether closing the connection breaks off no request that is complete. */
  get isExpendable(): boolean {
    return [...this.requests].every(({ state }) => state !== "handled");
  }

  /** Whether `freeMemory` can free something. */
  get canFreeMemory(): boolean {
    const holdsAnything = this.requests.size > 0 || this.#linesCharge > 0;
    return holdsAnything && this.isExpendable;
  }

  /**
   * Frees what the connection holds: refuses an incomplete request, or closes
   * the connection if its responses are not read or its headers not complete.
   * Returns the limit to count.
   */
  freeMemory(): ClientLimit {
    if (this.requests.size === 0) {
      this.destroy();
      return "headers-dropped";
    }
    const reading = [...this.requests].find(({ state }) => state === "reading");
    if (reading === undefined || this.requests.size > 1) {
      this.destroy();
      return "answer-dropped";
    }
    reading.dropBody();
    return "body-dropped";
  }

  /** Charges this connection; false if there is no room. */
  charge(bytes: number): boolean {
    return this.budget.charge(this, bytes);
  }

  /** Charges this connection with a response that is held already. */
  chargeResponse(bytes: number): void {
    this.budget.chargeResponse(this, bytes);
  }

  /** Takes back a part of the charge. */
  release(bytes: number): void {
    this.budget.release(this, bytes);
  }

  /**
   * Notes what the HTTP parser is about to get. Closes the connection if the
   * process has no room for it, unless a request of it is being handled: then the
   * next one is refused once its headers are complete.
   */
  receive(bytes: Buffer): void {
    this.#pendingLines.add(bytes);
    const charge = Math.max(0, this.#pendingLines.size - includedLinesBytes);
    const missing = charge - this.#linesCharge;
    if (missing <= 0) return;
    this.noteProgress();
    if (this.charge(missing)) this.#linesCharge = charge;
    else if (this.isExpendable) this.destroy();
  }

  /** Notes that the parser has passed on what it had got. */
  noteParsed(): void {
    this.#pendingLines.clear();
    if (this.#linesCharge === 0) return;
    this.release(this.#linesCharge);
    this.#linesCharge = 0;
  }

  /** Notes that the client has sent something, or was answered. */
  noteProgress(): void {
    this.progressAt = this.budget.clock.now();
  }

  /** Closes the connection at once and frees what it holds. */
  destroy(): void {
    this.socket.destroy();
    this.budget.remove(this);
  }
}
