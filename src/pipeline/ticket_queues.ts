/**
 * Queues of the tickets that wait for a slot, by pool and class.
 *
 * Urgent classes take precedence over patient ones, which keep a small
 * guaranteed share. Classes of the same urgency share the slots by weight
 * (stride scheduling, Waldspurger and Weihl, 1995).
 */
import { codes, type ResultCode } from "../errors/index.ts";
import type { ClassRow } from "../table/index.ts";
import type { Ticket } from "./ticket.ts";

/** While urgent and patient work waits, every n-th slot goes to patient work. */
const patientGrantInterval = 20;

/** The waiting tickets of a class. */
export interface ClassQueue {
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

/** A ticket and the queue in which it waits. */
export interface QueuedTicket {
  readonly queue: ClassQueue;
  readonly ticket: Ticket;
}

/** The waiting tickets of all pools. */
export class TicketQueues {
  #pools = new Map<string, PoolQueues>();
  #queueByTicket = new Map<string, ClassQueue>();

  /** Returns the pools that have had a ticket. */
  pools(): Iterable<string> {
    return this.#pools.keys();
  }

  /** Returns the queue of a class, with the class's newest row. */
  queueOf(row: ClassRow): ClassQueue {
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

  /** Returns the number of a pool's waiting tickets, of one urgency if given. */
  count(pool: string, urgency?: ClassRow["urgency"]): number {
    const queues = this.#pools.get(pool);
    if (queues === undefined) return 0;
    let queued = 0;
    for (const queue of queues.classes.values()) {
      if (urgency !== undefined && queue.row.urgency !== urgency) continue;
      queued += queue.waiting.size;
    }
    return queued;
  }

  /** Adds a ticket to a queue. */
  add({ queue, ticket }: QueuedTicket): void {
    queue.waiting.set(ticket.id, ticket);
    this.#queueByTicket.set(ticket.id, queue);
  }

  /** Removes a ticket from its queue. */
  remove({ queue, ticket }: QueuedTicket): void {
    queue.waiting.delete(ticket.id);
    this.#queueByTicket.delete(ticket.id);
  }

  /** Removes the ticket of an id; false when it is not waiting. */
  cancel(id: string): boolean {
    const queue = this.#queueByTicket.get(id);
    if (queue === undefined) return false;
    this.#queueByTicket.delete(id);
    return queue.waiting.delete(id);
  }

  /** Returns the ticket of a pool that gets the next slot. */
  next(pool: string): QueuedTicket | undefined {
    const queues = this.#pools.get(pool);
    if (queues === undefined) return undefined;
    const queue = nextQueue(queues);
    if (queue === undefined) return undefined;
    const ticket = firstTicket(queue.waiting);
    return ticket === undefined ? undefined : { queue, ticket };
  }

  /**
   * Advances the pass of a class that was idle to the pool's, so that the class
   * does not claim the share of its idle time afterwards.
   */
  advanceIdlePass(queue: ClassQueue): void {
    const pass = this.#pools.get(queue.row.pool)?.pass ?? 0;
    queue.pass = Math.max(queue.pass, pass);
  }

  /** Counts a grant to a class and advances the class's pass by its stride. */
  recordGrant(queue: ClassQueue): void {
    const pool = this.#pools.get(queue.row.pool);
    if (pool === undefined) return;
    pool.grants++;
    pool.pass = Math.max(pool.pass, queue.pass);
    queue.pass = pool.pass + 1 / queue.row.weight;
  }

  /**
   * Refuses the tickets of a pool whose latest start has passed. `now` is a
   * monotonic time in ms.
   */
  refuseExpired(pool: string, now: number): void {
    for (const queue of this.#pools.get(pool)?.classes.values() ?? []) {
      for (const ticket of queue.waiting.values()) {
        if (ticket.startBy === undefined || ticket.startBy > now) continue;
        this.remove({ queue, ticket });
        ticket.refused(codes.deadline);
      }
    }
  }

  /** Refuses every waiting ticket of a pool. */
  refuseAll(pool: string, code: ResultCode): void {
    for (const queue of this.#pools.get(pool)?.classes.values() ?? []) {
      const waiting = [...queue.waiting.values()];
      queue.waiting.clear();
      for (const ticket of waiting) {
        this.#queueByTicket.delete(ticket.id);
        ticket.refused(code);
      }
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
