/** Tickets: requests for one slot, and the effects of a slot's use. */
import type { ResultCode } from "../errors/index.ts";
import type { Host } from "../hosts/index.ts";
import type { ClassRow } from "../table/index.ts";

/**
 * A request for one slot. Exactly one of the two callbacks is called, and only
 * once; neither is called after the ticket was cancelled.
 */
export interface Ticket {
  readonly id: string;
  readonly class: ClassRow;
  /** Monotonic time in ms of the latest start; undefined without a limit. */
  readonly startBy?: number;
  /** Hosts that failed this request; used only if no other has a free slot. */
  readonly avoid: readonly string[];
  /** Called when a slot has been reserved for the ticket. */
  granted(host: Host): void;
  /**
   * Called when the ticket gets no slot here: with `noHost` when this entry owns
   * no host of the pool, so another entry may serve the request; with
   * `queueFull` or `deadline` when the request is to fail.
   */
  refused(code: ResultCode): void;
}

/** Effect of a slot's use on the host's health; `neutral` has none. */
export type SlotOutcome = "success" | "failure" | "neutral";
