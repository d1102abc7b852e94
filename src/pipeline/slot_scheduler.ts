/**
 * Scheduler of the slots of the hosts that this entry owns: it grants them to
 * the requests that wait for them. The state is mutable for speed, as every
 * request acquires and releases a slot.
 */
import type { Clock, Random } from "../clock/index.ts";
import { codes } from "../errors/index.ts";
import type { Host } from "../hosts/index.ts";
import { type HostSlots, OwnedHosts, type PoolSlots } from "./owned_hosts.ts";
import type { SlotOutcome, Ticket } from "./ticket.ts";
import { type QueuedTicket, TicketQueues } from "./ticket_queues.ts";

/** Load of one pool on the hosts that an entry owns. */
export interface PoolLoad extends PoolSlots {
  /** Tickets that wait for a slot. */
  readonly queued: number;
  /** Waiting tickets of urgent classes; part of `queued`. */
  readonly urgent: number;
}

/** Grants the slots of owned hosts to tickets. */
export class SlotScheduler {
  readonly #hosts: OwnedHosts;
  readonly #queues = new TicketQueues();

  constructor(private readonly clock: Clock, random: Random) {
    this.#hosts = new OwnedHosts(clock, random);
  }

  /**
   * Sets the hosts that may receive work. A host that is no longer among them
   * keeps its count of busy slots until its work in flight ends. For each host
   * in `gained`, which this entry takes over, all slots are reserved until
   * `releaseReserved` releases them. Refuses the tickets of pools without a host.
   */
  setHosts(serving: readonly Host[], gained: readonly string[] = []): void {
    this.#hosts.set(serving, gained);
    for (const pool of this.#queues.pools()) {
      if (this.#hosts.hasPool(pool)) this.#grantWaiting(pool);
      else this.#queues.refuseAll(pool, codes.noHost);
    }
  }

  /**
   * Requests a slot; a callback of the ticket reports the result. Returns true
   * when the ticket waits, and false when a callback has been called already.
   */
  acquire(ticket: Ticket): boolean {
    const { pool } = ticket.class;
    if (!this.#hosts.hasPool(pool)) {
      ticket.refused(codes.noHost);
      return false;
    }
    const queue = this.#queues.queueOf(ticket.class);
    if (queue.waiting.size === 0) this.#queues.advanceIdlePass(queue);
    if (this.#queues.count(pool) === 0) {
      const hostSlots = this.#hosts.select(pool, ticket);
      if (hostSlots !== undefined) {
        this.#grant(hostSlots, { queue, ticket });
        return false;
      }
    }
    if (queue.waiting.size >= ticket.class.queue) {
      ticket.refused(codes.queueFull);
      return false;
    }
    this.#queues.add({ queue, ticket });
    this.#grantWaiting(pool);
    return queue.waiting.has(ticket.id);
  }

  /** Withdraws a waiting ticket; false when it is not waiting. */
  cancel(id: string): boolean {
    return this.#queues.cancel(id);
  }

  /** Releases a busy slot and records the outcome in the host's health. */
  release(host: string, outcome: SlotOutcome): void {
    const released = this.#hosts.release(host, outcome);
    if (released !== undefined) this.#grantWaiting(released.pool);
  }

  /** Releases reserved slots of a host that was taken over. */
  releaseReserved(host: string, count: number): void {
    for (let i = 0; i < count; i++) this.release(host, "neutral");
  }

  /**
   * Refuses tickets whose latest start has passed, and grants slots that have
   * become usable as probes of suspect hosts. Called periodically.
   */
  sweep(): void {
    const now = this.clock.now();
    for (const pool of this.#queues.pools()) {
      this.#queues.refuseExpired(pool, now);
      this.#grantWaiting(pool);
    }
  }

  /** Returns the number of busy slots of a host, reserved ones included. */
  inFlight(host: string): number {
    return this.#hosts.inFlight(host);
  }

  /** Returns the number of busy slots of all hosts. */
  totalInFlight(): number {
    return this.#hosts.totalInFlight();
  }

  /** Returns the number of busy slots by host, for hosts that have any. */
  busyByHost(): ReadonlyMap<string, number> {
    return this.#hosts.busyByHost();
  }

  /** Returns the load of a pool on the owned hosts. */
  load(pool: string): PoolLoad {
    return {
      ...this.#hosts.poolSlots(pool),
      queued: this.#queues.count(pool),
      urgent: this.#queues.count(pool, "urgent"),
    };
  }

  /** Returns the pools that have an owned host. */
  pools(): readonly string[] {
    return this.#hosts.pools();
  }

  /** Returns the owned hosts that are suspect and not ejected yet. */
  suspectHosts(): readonly Host[] {
    return this.#hosts.suspectHosts();
  }

  /** Returns the owned hosts that are not suspect. */
  healthyHosts(): readonly Host[] {
    return this.#hosts.healthyHosts();
  }

  /** Marks a suspect host as ejected; the caller has checked the budget. */
  eject(host: string): void {
    this.#hosts.eject(host);
  }

  /** Grants slots of a pool in the order of its queues, while one is free. */
  #grantWaiting(pool: string): void {
    for (;;) {
      const next = this.#queues.next(pool);
      if (next === undefined) return;
      const hostSlots = this.#hosts.select(pool, next.ticket);
      if (hostSlots === undefined) return;
      this.#queues.remove(next);
      this.#grant(hostSlots, next);
    }
  }

  /** Grants a slot of the host to a ticket that does not wait any more. */
  #grant(hostSlots: HostSlots, { queue, ticket }: QueuedTicket): void {
    this.#queues.recordGrant(queue);
    hostSlots.busy++;
    ticket.granted(hostSlots.host);
  }
}
