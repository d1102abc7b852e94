/**
 * Decides with the other entries, through the store, which shards this entry
 * owns, and runs their owners.
 */
import type { Catalog } from "../catalog/index.ts";
import {
  assignShards,
  candidatesOf,
  type Member,
  memberLeaseMs,
  type Owner,
  type PreviousOwner,
  readOwner,
  ShardLease,
  shardToRelease,
} from "../cluster/index.ts";
import { ShardOwner } from "../scheduler/index.ts";
import { FleetOwner, fleetShard, type VacateState } from "../upkeep/index.ts";
import type { EntryParts } from "./entry_parts.ts";
import { Membership } from "./membership.ts";

/**
 * Time after which any entry takes a shard that nobody holds, in ms: the one
 * that should may see the others differently, or not reach the store.
 */
const passedOverMs = 1_000;

/** Least time between two releases for the sake of balance, in ms. */
const rebalanceMs = 5_000;

/** What the keeper works with. */
export interface ShardKeeperParts extends EntryParts {
  readonly vacating: () => ReadonlyMap<string, VacateState>;
  readonly refreshVacating: () => Promise<boolean>;
  /** Whether the operator's table and the endpoints have been read. */
  readonly isFollowing: () => boolean;
  /** Called after each answer of the store. */
  readonly storeSeen: () => void;
}

/** Something that runs while a shard is owned. */
interface OwnedShard {
  /** Whether nothing waits, so that a change of owner delays nobody. */
  readonly isQuiet: boolean;
  stop(): void;
  release(): Promise<void>;
}

/** Owner rows as last seen, to tell a silent holder from a live one. */
interface OwnerSighting {
  readonly version: number;
  readonly seenAt: number;
}

/** Runs the shards that this entry owns. */
export class ShardKeeper {
  readonly #owned = new Map<string, OwnedShard>();
  readonly #taking = new Set<string>();
  /** Steady time since which no live member holds a shard. */
  readonly #unheldSince = new Map<string, number>();
  readonly #sightings = new Map<string, OwnerSighting>();
  readonly #membership: Membership;
  #releasedAt: number;
  #stopping = false;

  constructor(private readonly parts: ShardKeeperParts) {
    this.#releasedAt = parts.clock.now();
    this.#membership = new Membership({
      ...parts,
      shards: () => [...this.#owned.keys()],
      isTaking: () => this.#taking.size > 0,
    });
  }

  get size(): number {
    return this.#owned.size;
  }

  /** Whether this entry may take shards, or has some. */
  get isActive(): boolean {
    return this.#membership.isActive;
  }

  /** One look at the members; returns the time until the next, in ms. */
  async pass(): Promise<number> {
    const { clock } = this.parts;
    const membership = this.#membership;
    const startedAt = clock.now();
    const read = await membership.pass();
    const mayClaim = read && membership.isActive && membership.isSettled;
    if (mayClaim && !this.#stopping) this.#claim();
    return Math.max(0, startedAt + membership.periodMs - clock.now());
  }

  /** Gives all shards up. */
  async release(): Promise<void> {
    this.#stopping = true;
    this.#membership.leave();
    const owned = [...this.#owned.values()];
    this.#owned.clear();
    await Promise.all(owned.map((shard) => shard.release()));
    if (this.#membership.isActive) await this.#membership.heartbeat();
  }

  #claim(): void {
    const { self, clock, catalog, isFollowing } = this.parts;
    if (catalog.current === undefined || !isFollowing()) return;
    const now = clock.now();
    const members = this.#membership.live();
    const shards = this.#shards(catalog.current);
    const assigned = assignShards(shards, members, candidatesOf(members));
    for (const shard of this.#unheldSince.keys()) {
      if (!assigned.has(shard)) this.#unheldSince.delete(shard);
    }
    for (const [shard, entry] of assigned) {
      const since = this.#unheldSince.get(shard) ?? now;
      this.#unheldSince.set(shard, since);
      const mayTake = entry === self.entry || now - since > passedOverMs;
      if (mayTake && !this.#taking.has(shard)) this.#take(shard, members);
    }
    this.#balance(members);
  }

  /** The fleet, and each pool that serves callers or has served them. */
  #shards({ pools }: Catalog): readonly string[] {
    const serving = pools.filter((pool) => !pool.standby);
    return [fleetShard, ...serving.map((pool) => pool.name)];
  }

  #balance(members: readonly Member[]): void {
    const { self, clock, log } = this.parts;
    if (clock.now() - this.#releasedAt < rebalanceMs) return;
    // The fleet stays: two holders of host orders must not follow closely.
    const shard = shardToRelease(self.entry, members, fleetShard);
    const owned = shard === undefined ? undefined : this.#owned.get(shard);
    if (shard === undefined || owned === undefined || !owned.isQuiet) return;
    this.#releasedAt = clock.now();
    this.#owned.delete(shard);
    log.decision("shard-released", { shard, reason: "balance" });
    owned.release().then(() => this.#membership.heartbeat());
  }

  async #take(shard: string, members: readonly Member[]): Promise<void> {
    const { store, self, clock, log } = this.parts;
    this.#taking.add(shard);
    try {
      const row = await readOwner(store, shard);
      if (row.err || this.#stopping) return;
      const { owner, version } = row.val;
      const boots = new Set(members.map((m) => m.boot));
      const held = owner !== undefined && owner.boot !== self.boot &&
        boots.has(owner.boot);
      if (held && !this.#isSilent(shard, version)) return;
      const lease = await ShardLease.acquire(
        store,
        clock,
        shard,
        { entry: self.entry, boot: self.boot },
        row.val,
      );
      if (lease === undefined || this.#stopping) return;
      log.decision("shard-taken", {
        shard,
        term: lease.term,
        from: owner?.entry,
        version,
      });
      await this.#run(shard, lease, this.#previous(owner));
    } finally {
      this.#taking.delete(shard);
    }
  }

  /** Whether a live member's owner row has stood still for a whole lease. */
  #isSilent(shard: string, version: number): boolean {
    const now = this.parts.clock.now();
    const seen = this.#sightings.get(shard);
    if (seen?.version !== version) {
      this.#sightings.set(shard, { version, seenAt: now });
      return false;
    }
    return now - seen.seenAt > memberLeaseMs;
  }

  /** Whether an earlier owner may go on ordering without the store. */
  #previous(owner: Owner | undefined): PreviousOwner {
    if (owner === undefined || owner.boot === "") return "ended";
    const hasEnded = this.#membership.hasEnded(owner.entry, owner.boot);
    return hasEnded ? "ended" : "silent";
  }

  async #run(
    shard: string,
    lease: ShardLease,
    previous: PreviousOwner,
  ): Promise<void> {
    if (shard === fleetShard) {
      this.#owned.set(shard, this.#runFleet(lease, previous));
      return;
    }
    const owner = new ShardOwner({
      ...this.parts,
      shard,
      lease,
      previous,
      lost: () => this.#dropped(shard, owner),
    });
    this.#owned.set(shard, owner);
    if (await owner.start()) {
      this.#membership.heartbeat();
      return;
    }
    owner.stop();
    this.#dropped(shard, owner);
  }

  #runFleet(lease: ShardLease, previous: PreviousOwner): OwnedShard {
    const { parts } = this;
    const keeper = new FleetOwner({
      ...parts,
      entry: parts.self.entry,
      lease,
      previous,
    });
    let stopped = false;
    const owned: OwnedShard = {
      isQuiet: false,
      stop: () => {
        stopped = true;
      },
      release: async () => {
        stopped = true;
        await lease.release();
      },
    };
    const tick = async (): Promise<void> => {
      if (stopped) return;
      const pause = await keeper.pass();
      if (lease.isLost) this.#dropped(fleetShard, owned);
      else parts.clock.after(pause, tick);
    };
    tick();
    return owned;
  }

  #dropped(shard: string, owner: OwnedShard): void {
    if (this.#owned.get(shard) === owner) this.#owned.delete(shard);
  }
}
