/** Orders to the provider of the hosts. */
import type { Result } from "ts-results";

/** States of a host. */
export const hostStates = ["up", "moving", "upkeep", "down"] as const;
export type HostState = typeof hostStates[number];

/** A host as the provider lists it. */
export interface ListedHost {
  readonly host: string;
  readonly pool: string;
  readonly state: HostState;
  readonly zone: string;
  /** Endpoint that runs on it; empty for none. */
  readonly endpoint: string;
}

/** Who gives an order, with its fencing token. */
export interface OrderHolder {
  readonly entry: string;
  readonly term: number;
}

/** The answer to an order about a host. */
export type HostOrderOutcome =
  | { readonly kind: "done" }
  | { readonly kind: "rejected"; readonly reason: string }
  /** Too many orders at once; this one had no effect. */
  | { readonly kind: "throttled" }
  | { readonly kind: "unknown"; readonly message: string };

/** Calls to the provider. None of them throws. */
export interface HostControl {
  list(): Promise<Result<readonly ListedHost[], string>>;
  /** Takes a host down for its maintenance; what runs there ends. */
  maintain(
    host: string,
    wave: string,
    holder: OrderHolder,
  ): Promise<HostOrderOutcome>;
  /** Moves a host to another pool; what runs there ends. */
  move(
    host: string,
    pool: string,
    holder: OrderHolder,
  ): Promise<HostOrderOutcome>;
}
