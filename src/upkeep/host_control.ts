/** Interface to the host provider: its host list and orders about hosts. */
import type { Result } from "ts-results";
import type { ProviderHost } from "../capacity/index.ts";

/** Sender of an order: its entry and fencing token. */
export interface OrderSender {
  readonly entry: string;
  readonly term: number;
}

/**
 * Outcome of an order about a host; `unknown`: there was no answer, or one that
 * does not say whether the order was carried out.
 */
export type HostOrderOutcome =
  /** This order or an earlier one with the same content was carried out. */
  | { readonly kind: "done" }
  /** The order had no effect. */
  | { readonly kind: "rejected"; readonly reason: string }
  /** The provider's rate limit was exceeded; the order had no effect. */
  | { readonly kind: "throttled" }
  | { readonly kind: "unknown"; readonly message: string };

/** The provider's calls. None of them throws. */
export interface HostControl {
  /** Lists all hosts; the error is a message. */
  list(): Promise<Result<readonly ProviderHost[], string>>;
  /** Takes a host down for its maintenance; runs in progress there end. */
  maintain(
    host: string,
    wave: string,
    sender: OrderSender,
  ): Promise<HostOrderOutcome>;
  /** Moves a host to another pool; runs in progress there end. */
  move(
    host: string,
    pool: string,
    sender: OrderSender,
  ): Promise<HostOrderOutcome>;
}
