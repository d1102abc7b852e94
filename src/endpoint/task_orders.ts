/**
 * Orders to the endpoints that run tasks.
 *
 * Each order carries the fencing token of its sender; an endpoint rejects a
 * token lower than the highest it has seen. An order without an answer may have
 * been executed, or may still be executed seconds later.
 */
import type { TaskEndpoint } from "./registry.ts";

/** Fields common to all orders. */
interface Order {
  /** Fencing token. */
  readonly term: number;
}

/** Order to start one run of a task. */
export interface StartOrder extends Order {
  readonly task: string;
  readonly run: number;
  /** Input passed to the task. */
  readonly payload: string;
  /** Lease expiry of all runs there, in ms of the endpoint's clock. */
  readonly leaseUntil: number;
  /** Checkpoint to resume from; empty for none. */
  readonly checkpoint: string;
  /** Ticket of the queue's advice service; empty if none is required. */
  readonly ticket: string;
}

/** Order to stop one run of a task. */
export interface StopOrder extends Order {
  readonly task: string;
  readonly run: number;
}

/** Order to throttle one run of a task. */
export interface PaceOrder extends StopOrder {
  /** Share of full speed, 0 to 100. */
  readonly percent: number;
}

/**
 * Order to extend the lease, discard recorded ends, and list the runs that are
 * in progress and those that have ended.
 */
export interface HoldOrder extends Order {
  /** Ends up to this sequence number are stored and may be discarded. */
  readonly recordedSeq: number;
  /** New lease expiry in ms of the endpoint's clock; absent to keep it. */
  readonly leaseUntil?: number;
  /** Long-poll timeout: how long the answer may wait for an end, in ms. */
  readonly waitMs: number;
}

/** Why an order was rejected; it had no effect. */
export type Rejection =
  /** The endpoint has seen a higher fencing token. */
  | "fenced"
  /** A run of the task with this or a higher number was stopped or ended. */
  | "stale-run"
  /** The lease had expired on arrival. */
  | "too-late"
  /** The endpoint lacks free capacity. */
  | "no-room"
  /** The ticket is missing or not valid. */
  | "no-ticket"
  /** Another incarnation of the endpoint answers at the address. */
  | "other-life"
  /** The endpoint reports that it is unhealthy or overloaded. */
  | "unhealthy"
  /**
   * The order was not sent: no connection could be opened, or the incarnation
   * ended while the order waited for one.
   */
  | "unreachable"
  /** The endpoint considers the order malformed. */
  | "invalid";

/**
 * Outcome of a start, stop or pace order; `unknown`: there was no answer, or
 * one that doesn't tell whether the order was carried out.
 */
export type OrderOutcome =
  | { readonly kind: "done"; readonly clockMs: number | undefined }
  | { readonly kind: "rejected"; readonly reason: Rejection }
  | { readonly kind: "unknown"; readonly message: string };

/** A run in progress at an endpoint. */
export interface RunningTask {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress, 0 to 100; for a long-running task 100 once it is available. */
  readonly percent: number;
  /**
   * Tail latency in ms for a task that serves users, otherwise CPU usage in
   * thousandths of a core; undefined if not reported.
   */
  readonly load: number | undefined;
}

/**
 * How a run ended, as reported by its endpoint. `lapsed`: the lease expired.
 * `broken`: another member of its gang has ended. `alone`: it waited for the
 * other members of its gang until the gang timeout.
 */
export const endKinds = [
  "done",
  "failed",
  "stopped",
  "lapsed",
  "broken",
  "alone",
] as const;
/** One of `endKinds`. */
export type EndKind = typeof endKinds[number];

/** A run that has ended at an endpoint. */
export interface EndedTask {
  /** Sequence number of the end; rises within the endpoint's incarnation. */
  readonly seq: number;
  readonly task: string;
  readonly run: number;
  readonly end: EndKind;
  readonly checkpoint: string;
}

/** An endpoint's lists of runs that are in progress and that have ended. */
export interface EndpointLists {
  /** Endpoint's clock, in ms. */
  readonly clockMs: number;
  /** Start of the endpoint's incarnation, in ms of wall-clock time. */
  readonly life: number;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
  /**
   * Whether further ends may follow that are not listed. They are listed after
   * the earlier ones have been discarded.
   */
  readonly hasMoreEnds: boolean;
}

/** Outcome of a hold order; `unknown` as in {@link OrderOutcome}. */
export type HoldOutcome =
  | { readonly kind: "lists"; readonly lists: EndpointLists }
  | { readonly kind: "rejected"; readonly reason: Rejection }
  | { readonly kind: "unknown"; readonly message: string };

/** Sends orders to endpoints. None of the calls throws. */
export interface TaskOrders {
  start(to: TaskEndpoint, order: StartOrder): Promise<OrderOutcome>;
  stop(to: TaskEndpoint, order: StopOrder): Promise<OrderOutcome>;
  pace(to: TaskEndpoint, order: PaceOrder): Promise<OrderOutcome>;
  hold(to: TaskEndpoint, order: HoldOrder): Promise<HoldOutcome>;
  /**
   * Ends all orders to one incarnation, as its session has ended. Those that
   * have not been sent are never sent and count as rejected; those that have
   * been are unknown. The next incarnation, which may have the same id and
   * address, receives none of the former.
   */
  endIncarnation(of: TaskEndpoint): void;
}
