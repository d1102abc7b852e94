/**
 * Scheduler of the slots of the hosts that this entry owns, with the queues of
 * requests that wait for them.
 *
 * Urgent classes take precedence over patient ones, which keep a small
 * guaranteed share. Classes of the same urgency share the slots by weight
 * (stride scheduling, Waldspurger and Weihl, 1995). The state is mutable for
 * speed, as every request acquires and releases a slot.
 */
import { codes, type ResultCode } from "../errors/index.ts";
import type { Clock, Random } from "../clock/index.ts";
import {
  type Health,
  type Host,
  initialHealth,
  markEjected,
  recordOutcome,
  usableSlots,
} from "../hosts/index.ts";
import type { ClassRow } from "../table/index.ts";

/** While urgent and patient work waits, every n-th slot goes to patient work. */
const patientGrantInterval = 20;

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

/** Load of one pool on the hosts that an entry owns. */
export interface PoolLoad {
  /** Slots that may be used, given the health of the hosts. */
  readonly slots: number;
  /** Usable slots that are not busy. */
  readonly free: number;
  /** Tickets that wait for a slot. */
  readonly queued: number;
  /** Waiting tickets of urgent classes; part of `queued`. */
  readonly urgent: number;
}

/** Effect of a slot's use on the host's health; `neutral` has none. */
export type SlotOutcome = "success" | "failure" | "neutral";

/** A host, the number of its busy slots, and its health. */
interface HostSlots {
  host: Host;
  /** Whether this entry owns the host and may send new work to it. */
  owned: boolean;
  /** Slots that are granted, in use, or reserved. */
  busy: number;
  health: Health;
}

/** The waiting tickets of a class. */
interface ClassQueue {
  row: ClassRow;
  /** Virtual time of the class's next grant. */
  pass: number;
  /** Tickets by id, the oldest first. */
  waiting: Map<string, Ticket>;
}

/** The queues of a pool. */
interface PoolQueues {
  readonly classes: Map<string, ClassQueue>;
  /** Virtual time of the last grant. */
  pass: number;
  /** Number of grants. */
  grants: number;
}

/** Grants the slots of owned hosts to tickets. */
export class SlotScheduler {
  #hosts = new Map<string, HostSlots>();
  #hostsByPool = new Map<string, HostSlots[]>();
  #pools = new Map<string, PoolQueues>();
  #queueByTicket = new Map<string, ClassQueue>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Sets the hosts that may receive work. A host that is no longer among them
   * keeps its count of busy slots until its work in flight ends. For each host
   * in `gained`, which this entry takes over, all slots are reserved until
   * `releaseReserved` releases them. Refuses the tickets of pools without a host.
   */
  setHosts(serving: readonly Host[], gained: readonly string[] = []): void {
    const reserved = new Set(gained);
    for (const hostSlots of this.#hosts.values()) hostSlots.owned = false;
    for (const host of serving) {
      const known = this.#hosts.get(host.name);
      const hostSlots = known ??
        { host, owned: true, busy: 0, health: initialHealth };
      if (hostSlots.host.epoch !== host.epoch) hostSlots.health = initialHealth;
      hostSlots.host = host;
      hostSlots.owned = true;
      if (reserved.has(host.name)) hostSlots.busy += host.slots;
      this.#hosts.set(host.name, hostSlots);
    }
    this.#removeReleasedHosts();
    this.#indexPools();
    for (const [pool, queues] of this.#pools) {
      if (this.#hostsByPool.has(pool)) this.#grantWaiting(pool);
      else refuseWaiting(queues, this.#queueByTicket, codes.noHost);
    }
  }

  /** Removes the hosts that are not owned and have no work in flight. */
  #removeReleasedHosts(): void {
    for (const [name, hostSlots] of this.#hosts) {
      if (!hostSlots.owned && hostSlots.busy === 0) this.#hosts.delete(name);
    }
  }

  #indexPools(): void {
    this.#hostsByPool.clear();
    for (const slots of this.#hosts.values()) {
      if (!slots.owned) continue;
      const list = this.#hostsByPool.get(slots.host.pool);
      if (list === undefined) this.#hostsByPool.set(slots.host.pool, [slots]);
      else list.push(slots);
    }
  }

  /**
   * Requests a slot; a callback of the ticket reports the result. Returns true
   * when the ticket waits, and false when a callback has been called already.
   */
  acquire(ticket: Ticket): boolean {
    const { pool } = ticket.class;
    if (!this.#hostsByPool.has(pool)) {
      ticket.refused(codes.noHost);
      return false;
    }
    const queue = this.#queueOf(ticket.class);
    if (queue.waiting.size === 0) this.#advancePass(queue);
    if (this.#queued(pool) === 0) {
      const hostSlots = this.#selectHost(pool, ticket);
      if (hostSlots !== undefined) {
        this.#grant(hostSlots, queue, ticket);
        return false;
      }
    }
    if (queue.waiting.size >= ticket.class.queue) {
      ticket.refused(codes.queueFull);
      return false;
    }
    queue.waiting.set(ticket.id, ticket);
    this.#queueByTicket.set(ticket.id, queue);
    this.#grantWaiting(pool);
    return queue.waiting.has(ticket.id);
  }

  /** Withdraws a waiting ticket; false when it is not waiting. */
  cancel(id: string): boolean {
    const queue = this.#queueByTicket.get(id);
    if (queue === undefined) return false;
    this.#queueByTicket.delete(id);
    return queue.waiting.delete(id);
  }

  /** Releases a busy slot and records the outcome in the host's health. */
  release(host: string, outcome: SlotOutcome): void {
    const hostSlots = this.#hosts.get(host);
    if (hostSlots === undefined) return;
    hostSlots.busy--;
    if (outcome !== "neutral") {
      const now = this.clock.now();
      hostSlots.health = recordOutcome(
        hostSlots.health,
        outcome === "success",
        now,
      );
    }
    if (!hostSlots.owned && hostSlots.busy === 0) this.#hosts.delete(host);
    else this.#grantWaiting(hostSlots.host.pool);
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
    for (const [pool, queues] of this.#pools) {
      for (const queue of queues.classes.values()) this.#expire(queue, now);
      this.#grantWaiting(pool);
    }
  }

  /** Refuses the tickets of a queue whose latest start has passed. */
  #expire(queue: ClassQueue, now: number): void {
    for (const ticket of queue.waiting.values()) {
      if (ticket.startBy === undefined || ticket.startBy > now) continue;
      queue.waiting.delete(ticket.id);
      this.#queueByTicket.delete(ticket.id);
      ticket.refused(codes.deadline);
    }
  }

  /** Returns the number of busy slots of a host, reserved ones included. */
  inFlight(host: string): number {
    return this.#hosts.get(host)?.busy ?? 0;
  }

  /** Returns the number of busy slots of all hosts. */
  totalInFlight(): number {
    let total = 0;
    for (const hostSlots of this.#hosts.values()) total += hostSlots.busy;
    return total;
  }

  /** Returns the number of busy slots by host, for hosts that have any. */
  busyByHost(): ReadonlyMap<string, number> {
    const busy = new Map<string, number>();
    for (const [name, hostSlots] of this.#hosts) {
      if (hostSlots.busy > 0) busy.set(name, hostSlots.busy);
    }
    return busy;
  }

  /** Returns the load of a pool on the owned hosts. */
  load(pool: string): PoolLoad {
    const now = this.clock.now();
    let slots = 0;
    let free = 0;
    for (const hostSlots of this.#hostsByPool.get(pool) ?? []) {
      const usable = usableSlots(hostSlots.health, hostSlots.host.slots, now);
      slots += usable;
      free += Math.max(0, usable - hostSlots.busy);
    }
    const queued = this.#queued(pool);
    return { slots, free, queued, urgent: this.#queued(pool, "urgent") };
  }

  #queued(pool: string, urgency?: ClassRow["urgency"]): number {
    const queues = this.#pools.get(pool);
    if (queues === undefined) return 0;
    let queued = 0;
    for (const queue of queues.classes.values()) {
      if (urgency !== undefined && queue.row.urgency !== urgency) continue;
      queued += queue.waiting.size;
    }
    return queued;
  }

  /** Returns the pools that have an owned host. */
  pools(): readonly string[] {
    return [...this.#hostsByPool.keys()];
  }

  /** Returns the owned hosts that are suspect and not ejected yet. */
  suspectHosts(): readonly Host[] {
    return [...this.#hosts.values()]
      .filter((h) => h.owned && h.health.suspect && !h.health.ejected)
      .map((h) => h.host);
  }

  /** Returns the owned hosts that are not suspect. */
  healthyHosts(): readonly Host[] {
    return [...this.#hosts.values()]
      .filter((h) => h.owned && !h.health.suspect)
      .map((h) => h.host);
  }

  /** Marks a suspect host as ejected; the caller has checked the budget. */
  eject(host: string): void {
    const hostSlots = this.#hosts.get(host);
    if (hostSlots === undefined || !hostSlots.health.suspect) return;
    hostSlots.health = markEjected(hostSlots.health, this.clock.now());
  }

  /** Returns the queue of a class, with the class's newest row. */
  #queueOf(row: ClassRow): ClassQueue {
    let pool = this.#pools.get(row.pool);
    if (pool === undefined) {
      pool = { classes: new Map(), pass: 0, grants: 0 };
      this.#pools.set(row.pool, pool);
    }
    let queue = pool.classes.get(row.name);
    if (queue === undefined) {
      queue = { row, pass: pool.pass, waiting: new Map() };
      pool.classes.set(row.name, queue);
    }
    queue.row = row;
    return queue;
  }

  /**
   * Advances the pass of a class that was idle to the pool's, so that the class
   * does not claim the share of its idle time afterwards.
   */
  #advancePass(queue: ClassQueue): void {
    const pass = this.#pools.get(queue.row.pool)?.pass ?? 0;
    queue.pass = Math.max(queue.pass, pass);
  }

  /** Grants slots of a pool in the order of its queues, while one is free. */
  #grantWaiting(pool: string): void {
    const queues = this.#pools.get(pool);
    if (queues === undefined) return;
    for (;;) {
      const queue = nextQueue(queues);
      if (queue === undefined) return;
      const ticket = firstTicket(queue.waiting);
      if (ticket === undefined) return;
      const hostSlots = this.#selectHost(pool, ticket);
      if (hostSlots === undefined) return;
      queue.waiting.delete(ticket.id);
      this.#queueByTicket.delete(ticket.id);
      this.#grant(hostSlots, queue, ticket);
    }
  }

  /** Grants a slot of the host, and advances the class's pass by its stride. */
  #grant(hostSlots: HostSlots, queue: ClassQueue, ticket: Ticket): void {
    const pool = this.#pools.get(queue.row.pool);
    if (pool !== undefined) {
      pool.grants++;
      pool.pass = Math.max(pool.pass, queue.pass);
      queue.pass = pool.pass + 1 / queue.row.weight;
    }
    hostSlots.busy++;
    ticket.granted(hostSlots.host);
  }

  /**
   * Selects the owned host of the pool with the most free slots, at random on a
   * tie. Hosts that the ticket avoids are selected only if no other has a free
   * slot.
   */
  #selectHost(pool: string, ticket: Ticket): HostSlots | undefined {
    const now = this.clock.now();
    const hosts = this.#hostsByPool.get(pool) ?? [];
    let best: HostSlots | undefined;
    let bestScore = 0;
    for (const hostSlots of hosts) {
      const usable = usableSlots(hostSlots.health, hostSlots.host.slots, now);
      const free = usable - hostSlots.busy;
      if (free <= 0) continue;
      // 1000 outweighs the free slots of any host with fewer slots than that.
      const avoided = ticket.avoid.includes(hostSlots.host.name);
      const score = (avoided ? 0 : 1000) + free + this.random() / 2;
      if (score <= bestScore) continue;
      best = hostSlots;
      bestScore = score;
    }
    return best;
  }
}

/** Refuses every waiting ticket of a pool. */
function refuseWaiting(
  pool: PoolQueues,
  queueByTicket: Map<string, ClassQueue>,
  code: ResultCode,
): void {
  for (const queue of pool.classes.values()) {
    const waiting = [...queue.waiting.values()];
    queue.waiting.clear();
    for (const ticket of waiting) {
      queueByTicket.delete(ticket.id);
      ticket.refused(code);
    }
  }
}

function firstTicket(waiting: ReadonlyMap<string, Ticket>): Ticket | undefined {
  for (const ticket of waiting.values()) return ticket;
  return undefined;
}

/** Returns the queue whose oldest ticket gets the next slot. */
function nextQueue(pool: PoolQueues): ClassQueue | undefined {
  const urgent = queueWithLowestPass(pool, "urgent");
  const patient = queueWithLowestPass(pool, "patient");
  if (urgent === undefined) return patient;
  if (patient === undefined) return urgent;
  return (pool.grants + 1) % patientGrantInterval === 0 ? patient : urgent;
}

/** Returns the queue with waiting tickets and the lowest virtual time. */
function queueWithLowestPass(
  pool: PoolQueues,
  urgency: ClassRow["urgency"],
): ClassQueue | undefined {
  let best: ClassQueue | undefined;
  for (const queue of pool.classes.values()) {
    if (queue.row.urgency !== urgency || queue.waiting.size === 0) continue;
    if (best === undefined || queue.pass < best.pass) best = queue;
  }
  return best;
}
