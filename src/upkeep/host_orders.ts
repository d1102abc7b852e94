/**
 * Sends the orders that take hosts down or move them, as holder of the fleet's
 * lease. Orders of two holders must not meet, so none is sent unless the lease
 * is known to last when it leaves.
 */
import type { HostMove, ProviderHost } from "../capacity/index.ts";
import type { Clock } from "../clock/index.ts";
import {
  memberLeaseMs,
  type PreviousOwner,
  type ShardLease,
} from "../cluster/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import type {
  HostControl,
  HostOrderOutcome,
  OrderSender,
} from "./host_control.ts";

/** Age of the lease from which it is renewed before an order, in ms. */
const maxLeaseAgeMs = 1_000;

/** Time for the delivery of an order, in ms. */
const orderDeliveryMs = 150;

/**
 * Age of the lease above which no order is sent, in ms. The age after a renewal
 * is the time that the renewal took, in which the process may have been
 * suspended.
 */
const maxLeaseAgeAtOrderMs = memberLeaseMs - orderDeliveryMs;

/** Time in which orders that are in flight arrive, in ms. */
const orderSettleMs = 300;

/**
 * Least delay of the first order after a takeover from a silent owner, in ms: its
 * network may be disturbed, so that its orders take longer to arrive.
 */
const silentTakeoverDelayMs = 600;

/**
 * Returns the monotonic time, in ms, from which no order of a previous owner
 * arrives any more after a takeover at `now`. One that is silent may not know
 * that it has lost the fleet, and sends orders until its last commit is too old.
 */
function previousOrdersEndBy(previous: PreviousOwner, now: number): number {
  if (previous.state === "ended") return now + orderSettleMs;
  const lastOrderBy = previous.committedBy + maxLeaseAgeAtOrderMs;
  return Math.max(now + silentTakeoverDelayMs, lastOrderBy + orderSettleMs);
}

/** Dependencies of {@link HostOrders}. */
export interface HostOrdersDependencies {
  /** Name of this entry. */
  readonly entry: string;
  readonly lease: ShardLease;
  readonly control: HostControl;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** What is known about the previous owner of the fleet. */
  readonly previous: PreviousOwner;
  /** Whether the owner is neither stopped nor has it lost its lease. */
  readonly mayAct: () => boolean;
}

/** An order that was sent. */
interface SentOrder {
  readonly outcome: HostOrderOutcome;
  /** Age of the lease when it was sent, in ms. */
  readonly leaseAgeMs: number;
  /** Time until its outcome was known, in ms. */
  readonly tookMs: number;
}

/** Orders about hosts in one term of the fleet's lease. */
export class HostOrders {
  /** Monotonic time of the first order, in ms. */
  readonly #firstOrderAt: number;
  /** Renewal of the lease that is in progress. */
  #renewal: Promise<boolean> | undefined;

  constructor(private readonly deps: HostOrdersDependencies) {
    this.#firstOrderAt = previousOrdersEndBy(deps.previous, deps.clock.now());
  }

  /**
   * Takes a host down for its maintenance. Returns undefined if the order was
   * not sent.
   */
  async maintain(
    { host }: ProviderHost,
    wave: string,
  ): Promise<HostOrderOutcome | undefined> {
    const order = await this.#send((sender) =>
      this.deps.control.maintain(host, wave, sender)
    );
    this.#log("host-maintenance", host, order, { wave });
    return order?.outcome;
  }

  /**
   * Moves a host if `maySend` holds when the order is sent. Returns undefined if
   * it was not sent.
   */
  async move(
    { host, from, to }: HostMove,
    maySend: () => boolean,
  ): Promise<HostOrderOutcome | undefined> {
    const order = await this.#send(
      (sender) => this.deps.control.move(host, to, sender),
      maySend,
    );
    this.#log("host-move", host, order, { from, to });
    return order?.outcome;
  }

  /**
   * Sends an order if the lease is fresh and `maySend` still holds after a
   * possible renewal. Returns undefined if the order was not sent.
   */
  async #send(
    send: (sender: OrderSender) => Promise<HostOrderOutcome>,
    maySend: () => boolean = () => true,
  ): Promise<SentOrder | undefined> {
    const { clock, lease, entry, mayAct } = this.deps;
    if (!mayAct() || clock.now() < this.#firstOrderAt) return undefined;
    if (!await this.#ensureFreshLease()) return undefined;
    // The lease may have been released or lost during the renewal, or the
    // process suspended.
    if (!mayAct() || !maySend()) return undefined;
    const leaseAgeMs = lease.ageMs;
    if (leaseAgeMs > maxLeaseAgeAtOrderMs) return undefined;
    const sentAt = clock.now();
    const outcome = await send({ entry, term: lease.term });
    const tookMs = clock.now() - sentAt;
    return { outcome, leaseAgeMs, tookMs };
  }

  /**
   * Renews the lease if it is old; concurrent orders share one renewal. Returns
   * false if the renewal fails.
   */
  async #ensureFreshLease(): Promise<boolean> {
    const { lease } = this.deps;
    if (lease.ageMs <= maxLeaseAgeMs) return true;
    this.#renewal ??= lease.commit([], []).then((renewed) => {
      this.#renewal = undefined;
      return renewed.ok;
    });
    return await this.#renewal;
  }

  /** Logs the outcome of an order that was sent. */
  #log(
    event: string,
    host: string,
    order: SentOrder | undefined,
    fields: Readonly<Record<string, string>>,
  ): void {
    if (order === undefined) return;
    const { log, lease } = this.deps;
    const { outcome } = order;
    const { kind } = outcome;
    const reason = kind === "rejected" ? outcome.reason : undefined;
    const message = kind === "unknown" ? outcome.message : reason;
    const { term } = lease;
    log.decision(event, {
      ...fields,
      host,
      term,
      outcome: kind,
      message,
      leaseAgeMs: Math.round(order.leaseAgeMs),
      tookMs: Math.round(order.tookMs),
    });
  }
}
