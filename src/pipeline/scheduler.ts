/**
 * Slots of the hosts that this entry owns, and the queues before them.
 *
 * Urgent classes go before patient ones, except for a small guaranteed share;
 * classes of one urgency share by weight (stride scheduling, Waldspurger and
 * Weihl, 1995). The state is mutable: every request passes here twice.
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

/** Every n-th start goes to patient work while urgent work waits too. */
const patientStartInterval = 20;

/** A request for one slot. */
export interface Ticket {
  readonly id: string;
  readonly class: ClassRow;
  /** Monotonic time in ms of the latest start; undefined to wait. */
  readonly startBy?: number;
  /** Hosts that failed this request before. */
  readonly avoid: readonly string[];
  /** Called once when a slot is reserved. */
  granted(host: Host): void;
  /** Called once with `noHost` when the ticket has to wait elsewhere, or with
   * the reason why the request gets no slot. */
  refused(code: ResultCode): void;
}

/** Load of one pool on the hosts that an entry owns. */
export interface PoolLoad {
  readonly slots: number;
  readonly free: number;
  readonly queued: number;
  /** Waiting urgent requests among the queued. */
  readonly urgent: number;
}

/** How a slot's use ended, for the host's health. */
export type SlotOutcome = "success" | "failure" | "neutral";

interface HostSlots {
  host: Host;
  owned: boolean;
  busy: number;
  health: Health;
}

interface ClassQueue {
  row: ClassRow;
  /** Virtual time of the class's next start. */
  pass: number;
  waiting: Map<string, Ticket>;
}

interface PoolQueues {
  readonly classes: Map<string, ClassQueue>;
  /** Virtual time of the last start. */
  pass: number;
  starts: number;
}

/** Grants slots of owned hosts to tickets. */
export class Scheduler {
  #hosts = new Map<string, HostSlots>();
  #hostsByPool = new Map<string, HostSlots[]>();
  #pools = new Map<string, PoolQueues>();
  #queueByTicket = new Map<string, ClassQueue>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Replaces the hosts that may receive work. Hosts that are left out keep
   * their count of busy slots until the work in flight ends. All slots of a
   * gained host are reserved until `unreserve` frees them.
   */
  setHosts(serving: readonly Host[], gained: readonly string[] = []): void {
    const reserved = new Set(gained);
    for (const slots of this.#hosts.values()) slots.owned = false;
    for (const host of serving) {
      const known = this.#hosts.get(host.name);
      const slots = known ??
        { host, owned: true, busy: 0, health: initialHealth };
      if (slots.host.epoch !== host.epoch) slots.health = initialHealth;
      slots.host = host;
      slots.owned = true;
      if (reserved.has(host.name)) slots.busy += host.slots;
      this.#hosts.set(host.name, slots);
    }
    this.#removeReleasedHosts();
    this.#indexPools();
    for (const [pool, queues] of this.#pools) {
      if (this.#hostsByPool.has(pool)) this.#grantWaiting(pool);
      else refuseWaiting(queues, this.#queueByTicket, codes.noHost);
    }
  }

  #removeReleasedHosts(): void {
    for (const [name, slots] of this.#hosts) {
      if (!slots.owned && slots.busy === 0) this.#hosts.delete(name);
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
   * Asks for a slot; the ticket's callbacks tell the outcome. Returns whether
   * the ticket waits, and no callback has been called yet.
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
      const host = this.#selectHost(pool, ticket);
      if (host !== undefined) {
        this.#grant(host, queue, ticket);
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

  /** Gives a slot back. */
  release(host: string, outcome: SlotOutcome): void {
    const slots = this.#hosts.get(host);
    if (slots === undefined) return;
    slots.busy--;
    if (outcome !== "neutral") {
      const now = this.clock.now();
      slots.health = recordOutcome(slots.health, outcome === "success", now);
    }
    if (!slots.owned && slots.busy === 0) this.#hosts.delete(host);
    else this.#grantWaiting(slots.host.pool);
  }

  /** Frees reserved slots of a gained host. */
  unreserve(host: string, count: number): void {
    for (let i = 0; i < count; i++) this.release(host, "neutral");
  }

  /** Refuses what can no longer start in time, and retries probes. */
  sweep(): void {
    const now = this.clock.now();
    for (const [pool, queues] of this.#pools) {
      for (const queue of queues.classes.values()) this.#expire(queue, now);
      this.#grantWaiting(pool);
    }
  }

  #expire(queue: ClassQueue, now: number): void {
    for (const ticket of queue.waiting.values()) {
      if (ticket.startBy === undefined || ticket.startBy > now) continue;
      queue.waiting.delete(ticket.id);
      this.#queueByTicket.delete(ticket.id);
      ticket.refused(codes.deadline);
    }
  }

  /** Work in flight or granted on a host. */
  inFlight(host: string): number {
    return this.#hosts.get(host)?.busy ?? 0;
  }

  /** Work in flight on all hosts. */
  totalInFlight(): number {
    let total = 0;
    for (const slots of this.#hosts.values()) total += slots.busy;
    return total;
  }

  /** Busy slots of each host that has any. */
  busyByHost(): ReadonlyMap<string, number> {
    const busy = new Map<string, number>();
    for (const [name, slots] of this.#hosts) {
      if (slots.busy > 0) busy.set(name, slots.busy);
    }
    return busy;
  }

  /** Load of a pool on the owned hosts. */
  load(pool: string): PoolLoad {
    const now = this.clock.now();
    let slots = 0;
    let free = 0;
    for (const host of this.#hostsByPool.get(pool) ?? []) {
      const usable = usableSlots(host.health, host.host.slots, now);
      slots += usable;
      free += Math.max(0, usable - host.busy);
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

  /** Pools with an owned host. */
  pools(): readonly string[] {
    return [...this.#hostsByPool.keys()];
  }

  /** Owned hosts that fail most of their work and are not ejected yet. */
  suspects(): readonly Host[] {
    return [...this.#hosts.values()]
      .filter((h) => h.owned && h.health.suspect && !h.health.ejected)
      .map((h) => h.host);
  }

  /** Owned hosts that are in good health. */
  soundHosts(): readonly Host[] {
    return [...this.#hosts.values()]
      .filter((h) => h.owned && !h.health.suspect)
      .map((h) => h.host);
  }

  /** Ejects a suspect host after the budget has granted it. */
  eject(host: string): void {
    const slots = this.#hosts.get(host);
    if (slots === undefined || !slots.health.suspect) return;
    slots.health = markEjected(slots.health, this.clock.now());
  }

  /** Ids of the tickets of a pool that wait, oldest of each class first. */
  waitingIds(pool: string): readonly string[] {
    const ids: string[] = [];
    for (const queue of this.#pools.get(pool)?.classes.values() ?? []) {
      ids.push(...queue.waiting.keys());
    }
    return ids;
  }

  #queueOf(row: ClassRow): ClassQueue {
    let pool = this.#pools.get(row.pool);
    if (pool === undefined) {
      pool = { classes: new Map(), pass: 0, starts: 0 };
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

  /** A class that was idle does not make up for the time it was idle. */
  #advancePass(queue: ClassQueue): void {
    const pass = this.#pools.get(queue.row.pool)?.pass ?? 0;
    queue.pass = Math.max(queue.pass, pass);
  }

  #grantWaiting(pool: string): void {
    const queues = this.#pools.get(pool);
    if (queues === undefined) return;
    for (;;) {
      const queue = nextQueue(queues);
      if (queue === undefined) return;
      const ticket = firstTicket(queue.waiting);
      if (ticket === undefined) return;
      const host = this.#selectHost(pool, ticket);
      if (host === undefined) return;
      queue.waiting.delete(ticket.id);
      this.#queueByTicket.delete(ticket.id);
      this.#grant(host, queue, ticket);
    }
  }

  #grant(host: HostSlots, queue: ClassQueue, ticket: Ticket): void {
    const pool = this.#pools.get(queue.row.pool);
    if (pool !== undefined) {
      pool.starts++;
      pool.pass = Math.max(pool.pass, queue.pass);
      queue.pass = pool.pass + 1 / queue.row.weight;
    }
    host.busy++;
    ticket.granted(host.host);
  }

  /** The owned host of the pool with the most free slots, ties at random. */
  #selectHost(pool: string, ticket: Ticket): HostSlots | undefined {
    const now = this.clock.now();
    const hosts = this.#hostsByPool.get(pool) ?? [];
    let best: HostSlots | undefined;
    let bestScore = 0;
    for (const host of hosts) {
      const usable = usableSlots(host.health, host.host.slots, now);
      const free = usable - host.busy;
      if (free <= 0) continue;
      const avoided = ticket.avoid.includes(host.host.name);
      const score = (avoided ? 0 : 1000) + free + this.random() / 2;
      if (score <= bestScore) continue;
      best = host;
      bestScore = score;
    }
    return best;
  }
}

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

function nextQueue(pool: PoolQueues): ClassQueue | undefined {
  const urgent = queueWithLowestPass(pool, "urgent");
  const patient = queueWithLowestPass(pool, "patient");
  if (urgent === undefined) return patient;
  if (patient === undefined) return urgent;
  return (pool.starts + 1) % patientStartInterval === 0 ? patient : urgent;
}

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
