/**
 * Orders to the endpoints that run tasks.
 *
 * Each order carries the fencing token of its sender; an endpoint does
 * nothing for a lower one than it has seen. A call without an answer may have
 * been carried out, or may be seconds later.
 */
import type { TaskEndpoint } from "./registry.ts";

/** What every order to an endpoint carries. */
interface Order {
  /** Fencing token. */
  readonly term: number;
}

/** Order to start one run of a task. */
export interface StartOrder extends Order {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  /** Lease of all that runs there, in ms of the endpoint's clock. */
  readonly leaseUntil: number;
  /** Checkpoint to resume from; empty for none. */
  readonly checkpoint: string;
  /** Ticket of the queue's policy; empty where none is asked for. */
  readonly ticket: string;
}

/** Order to stop one run of a task. */
export interface StopOrder extends Order {
  readonly task: string;
  readonly run: number;
}

/** Order to slow one run of a task down. */
export interface PaceOrder extends StopOrder {
  /** Share of its work, 0 to 100. */
  readonly percent: number;
}

/** Order to extend the lease, forget ends, and list what runs and ended. */
export interface HoldOrder extends Order {
  /** Ends up to this number are recorded and may be forgotten. */
  readonly recordedEnd: number;
  readonly leaseUntil?: number;
  /** How long the answer may wait for an end, in ms. */
  readonly waitMs: number;
}

/** Why an endpoint rejected an order; the order had no effect. */
export type Rejection =
  | "fenced"
  /** A run that is not lower has been stopped or has ended there. */
  | "stale-run"
  /** The lease was over on arrival. */
  | "too-late"
  | "no-room"
  | "no-ticket"
  /** Another life answers at the address. */
  | "other-life"
  | "unhealthy"
  /** No connection could be opened, so the order was not sent. */
  | "unreachable"
  | "invalid";

/** The answer to a start, a stop, or a pace order. */
export type OrderOutcome =
  | { readonly kind: "done"; readonly clockMs: number | undefined }
  | { readonly kind: "rejected"; readonly reason: Rejection }
  | { readonly kind: "unknown"; readonly message: string };

/** A run that is under way at an endpoint. */
export interface RunningTask {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress, or for a long-running task 100 when it is at work. */
  readonly percent: number;
  /**
   * For a task that serves users its tail latency in ms, else the processor
   * time in use, in thousandths of a core; undefined when it isn't said.
   */
  readonly load: number | undefined;
}

/** How an endpoint says that a run ended. */
export const endKinds = [
  "done",
  "failed",
  "stopped",
  "lapsed",
  "broken",
  "alone",
] as const;
export type EndKind = typeof endKinds[number];

/** A run that has ended at an endpoint. */
export interface EndedTask {
  /** Rising number within the endpoint's life. */
  readonly seq: number;
  readonly task: string;
  readonly run: number;
  readonly end: EndKind;
  readonly checkpoint: string;
}

/** An endpoint's lists. */
export interface EndpointLists {
  readonly clockMs: number;
  readonly life: number;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
}

/** The answer to a hold order. */
export type HoldOutcome =
  | { readonly kind: "lists"; readonly lists: EndpointLists }
  | { readonly kind: "rejected"; readonly reason: Rejection }
  | { readonly kind: "unknown"; readonly message: string };

/** Sends orders. None of the calls throws. */
export interface TaskOrders {
  start(to: TaskEndpoint, order: StartOrder): Promise<OrderOutcome>;
  stop(to: TaskEndpoint, order: StopOrder): Promise<OrderOutcome>;
  pace(to: TaskEndpoint, order: PaceOrder): Promise<OrderOutcome>;
  hold(to: TaskEndpoint, order: HoldOrder): Promise<HoldOutcome>;
}
