/**
 * The memory that a process holds for its clients, as one budget.
 *
 * Connections and requests are charged as they are held, not as they are
 * announced. When the budget is used up, the connection that goes longest
 * without progress gives way, first among those of the address that holds most.
 * Requests that are being handled never give way; a new one is refused instead.
 */
import { type Clock, systemClock } from "../clock/index.ts";
import { GuardedConnection } from "./connection.ts";
import { type LimitEvents, noLimitEvents } from "./limit_events.ts";

/** Share of the budget from which on an address gets no more in a crowd. */
const addressShare = 1 / 2;

/** Share of the budget in use that makes a crowd. */
const crowdedShare = 3 / 4;

/** What the connections from one address hold. */
interface Holder {
  bytes: number;
  connections: number;
}

/** The connections of all listeners of a process, and what they hold. */
export class ConnectionBudget {
  readonly #connections = new Set<GuardedConnection>();
  readonly #holders = new Map<string, Holder>();
  #heldBytes = 0;

  constructor(
    /** Most bytes to hold. */
    readonly maxBytes: number,
    private readonly events: LimitEvents = noLimitEvents,
    readonly clock: Pick<Clock, "now"> = systemClock,
  ) {}

  /** Bytes held. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Adds a connection. */
  add(connection: GuardedConnection): void {
    this.#connections.add(connection);
    this.#holder(connection.address).connections++;
  }

  /** Removes a connection and all that it holds. */
  remove(connection: GuardedConnection): void {
    if (!this.#connections.delete(connection)) return;
    const holder = this.#holder(connection.address);
    holder.connections--;
    this.#change(connection, -connection.heldBytes);
    if (holder.connections === 0) this.#holders.delete(connection.address);
  }

  /**
   * Charges a connection with more bytes. Returns false, and charges nothing,
   * if no room can be made for them.
   */
  charge(connection: GuardedConnection, bytes: number): boolean {
    if (!this.#connections.has(connection)) return false;
    const { address } = connection;
    while (this.#heldBytes + bytes > this.#limitFor(address, bytes)) {
      if (!this.#freeMemory(connection)) {
        this.events.onLimit("held-bytes", address);
        return false;
      }
    }
    this.#change(connection, bytes);
    return true;
  }

  /**
   * Charges a connection with a response that is held already, whether or not
   * room can be made for it.
   */
  chargeResponse(connection: GuardedConnection, bytes: number): void {
    if (!this.charge(connection, bytes) && this.#connections.has(connection)) {
      this.#change(connection, bytes);
    }
  }

  /** Takes back a part of a connection's charge. */
  release(connection: GuardedConnection, bytes: number): void {
    if (this.#connections.has(connection)) this.#change(connection, -bytes);
  }

  /** Counts an occurrence of a limit that a connection met. */
  countRequestsAhead({ address }: GuardedConnection): void {
    this.events.onLimit("requests-ahead", address);
  }

  /**
   * Makes room for one more connection among those of a listener, by closing
   * one that is idle or has no complete request. Returns the closed one;
   * undefined if there is none.
   */
  freeConnection(
    listener: Iterable<GuardedConnection>,
    newAddress: string,
  ): GuardedConnection | undefined {
    const victim = this.#stalest(
      listener,
      (connection) => connection.isExpendable,
      (holder) => holder.connections,
    );
    this.events.onLimit("connections", victim?.address ?? newAddress);
    victim?.destroy();
    return victim;
  }

  /** Bytes up to which a charge of an address is granted. */
  #limitFor(address: string, bytes: number): number {
    const isLarge =
      this.#holder(address).bytes + bytes > this.maxBytes * addressShare;
    return isLarge ? this.maxBytes * crowdedShare : this.maxBytes;
  }

  /** Frees what one connection other than `requester` holds, if it can. */
  #freeMemory(requester: GuardedConnection): boolean {
    const victim = this.#stalest(
      this.#connections,
      (connection) => connection !== requester && connection.canFreeMemory,
      (holder) => holder.bytes,
    );
    if (victim === undefined) return false;
    const limit = victim.freeMemory();
    this.events.onLimit(limit, victim.address);
    return true;
  }

  /**
   * Finds the connection that goes longest without progress, among those of
   * the address that has the largest weight.
   */
  #stalest(
    connections: Iterable<GuardedConnection>,
    canBeTaken: (connection: GuardedConnection) => boolean,
    weightOf: (holder: Holder) => number,
  ): GuardedConnection | undefined {
    let stalest: GuardedConnection | undefined;
    let largest = -1;
    for (const connection of connections) {
      if (connection.isDestroyed || !canBeTaken(connection)) continue;
      const weight = weightOf(this.#holder(connection.address));
      const isStaler = stalest === undefined ||
        connection.progressAt < stalest.progressAt;
      if (weight > largest || (weight === largest && isStaler)) {
        stalest = connection;
        largest = weight;
      }
    }
    return stalest;
  }

  #change(connection: GuardedConnection, bytes: number): void {
    connection.heldBytes += bytes;
    this.#holder(connection.address).bytes += bytes;
    this.#heldBytes += bytes;
  }

  #holder(address: string): Holder {
    let holder = this.#holders.get(address);
    if (holder === undefined) {
      holder = { bytes: 0, connections: 0 };
      this.#holders.set(address, holder);
    }
    return holder;
  }
}
