/** The hosts that this entry owns, with their busy slots and their health. */
import type { Clock, Random } from "../clock/index.ts";
import {
  type Health,
  type Host,
  initialHealth,
  markEjected,
  recordOutcome,
  usableSlots,
} from "../hosts/index.ts";
import type { SlotOutcome, Ticket } from "./ticket.ts";

/**
 * Score of a host that a ticket does not avoid. It outweighs the free slots of
 * any host with fewer slots than that.
 */
const notAvoidedScore = 1_000;

/** A host, the number of its busy slots, and its health. */
export interface HostSlots {
  host: Host;
  /** Whether this entry owns the host and may send new work to it. */
  owned: boolean;
  /** Slots that are granted, in use, or reserved. */
  busy: number;
  health: Health;
}

/** Slots of a pool's owned hosts. */
export interface PoolSlots {
  /** Slots that may be used, given the health of the hosts. */
  readonly slots: number;
  /** Usable slots that are not busy. */
  readonly free: number;
}

/** The owned hosts, and those that are released but have work in flight. */
export class OwnedHosts {
  #hosts = new Map<string, HostSlots>();
  #hostsByPool = new Map<string, HostSlots[]>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Sets the hosts that may receive work. A host that is no longer among them
   * keeps its count of busy slots until its work in flight ends. All slots of
   * the hosts in `gained` are reserved.
   */
  set(serving: readonly Host[], gained: readonly string[]): void {
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

  /** Whether the pool has an owned host. */
  hasPool(pool: string): boolean {
    return this.#hostsByPool.has(pool);
  }

  /** Returns the pools that have an owned host. */
  pools(): readonly string[] {
    return [...this.#hostsByPool.keys()];
  }

  /**
   * Selects the owned host of the pool with the most free slots, at random on a
   * tie. Hosts that the ticket avoids are selected only if no other has a free
   * slot.
   */
  select(pool: string, ticket: Ticket): HostSlots | undefined {
    const now = this.clock.now();
    const hosts = this.#hostsByPool.get(pool) ?? [];
    let best: HostSlots | undefined;
    let bestScore = 0;
    for (const hostSlots of hosts) {
      const usable = usableSlots(hostSlots.health, hostSlots.host.slots, now);
      const free = usable - hostSlots.busy;
      if (free <= 0) continue;
      const avoided = ticket.avoid.includes(hostSlots.host.name);
      const score = (avoided ? 0 : notAvoidedScore) + free + this.random() / 2;
      if (score <= bestScore) continue;
      best = hostSlots;
      bestScore = score;
    }
    return best;
  }

  /**
   * Releases a busy slot and records the outcome in the host's health. Returns
   * the host, or undefined if it is unknown or no longer owned without work.
   */
  release(name: string, outcome: SlotOutcome): Host | undefined {
    const hostSlots = this.#hosts.get(name);
    if (hostSlots === undefined) return undefined;
    hostSlots.busy--;
    if (outcome !== "neutral") {
      const now = this.clock.now();
      hostSlots.health = recordOutcome(
        hostSlots.health,
        outcome === "success",
        now,
      );
    }
    if (hostSlots.owned || hostSlots.busy !== 0) return hostSlots.host;
    this.#hosts.delete(name);
    return undefined;
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

  /** Returns the slots of a pool. */
  poolSlots(pool: string): PoolSlots {
    const now = this.clock.now();
    let slots = 0;
    let free = 0;
    for (const hostSlots of this.#hostsByPool.get(pool) ?? []) {
      const usable = usableSlots(hostSlots.health, hostSlots.host.slots, now);
      slots += usable;
      free += Math.max(0, usable - hostSlots.busy);
    }
    return { slots, free };
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
}
