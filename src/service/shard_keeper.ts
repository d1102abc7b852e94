/**
 * Decides with the other entries, through the store, which shards this entry
 * owns, and runs their owners.
 */
import type { Catalog } from "../catalog/index.ts";
import {
  assignShards,
  type ClusterMember,
  memberLeaseMs,
  type OwnerRecord,
  type PreviousOwner,
  readOwner,
  selectCandidates,
  ShardLease,
  shardToRelease,
} from "../cluster/index.ts";
import { ShardOwner } from "../scheduler/index.ts";
import { FleetOwner, fleetShard, type VacateState } from "../upkeep/index.ts";
import type { EntryDependencies } from "./entry_parts.ts";
import { Membership } from "./membership.ts";

/**
 * Time after which any entry takes a shard that nobody holds, in ms: the one
 * that should may see the others differently, or not reach the store.
 */
const claimFallbackMs = 1_000;

/** Least time between two releases for the sake of balance, in ms. */
const minRebalanceIntervalMs = 5_000;

/** What the keeper works with. */
export interface ShardManagerDependencies extends EntryDependencies {
  readonly vacating: () => ReadonlyMap<string, VacateState>;
  readonly refreshVacating: () => Promise<boolean>;
  /** Whether the operator's table and the endpoints have been read. */
  readonly isFollowing: () => boolean;
  /** Called after each answer of the store. */
  readonly onStoreAnswer: () => void;
}

/** Something that runs while a shard is owned. */
interface OwnedShard {
  /** Whether nothing waits, so that a change of owner delays nobody. */
  readonly isQuiet: boolean;
  stop(): void;
  release(): Promise<void>;
}

/** Owner rows as last seen, to tell a silent holder from a live one. */
interface OwnerObservation {
  readonly version: number;
  readonly firstSeenAt: number;
}

/** Runs the shards that this entry owns. */
export class ShardManager {
  readonly #owned = new Map<string, OwnedShard>();
  readonly #acquiring = new Set<string>();
  /** Steady time since which no live member holds a shard. */
  readonly #unownedSince = new Map<string, number>();
  readonly #ownerObservations = new Map<string, OwnerObservation>();
  readonly #membership: Membership;
  #rebalancedAt: number;
  #stopping = false;

  constructor(private readonly deps: ShardManagerDependencies) {
    this.#rebalancedAt = deps.clock.now();
    this.#membership = new Membership({
      ...deps,
      shards: () => [...this.#owned.keys()],
      isAcquiring: () => this.#acquiring.size > 0,
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
  async refresh(): Promise<number> {
    const { clock } = this.deps;
    const membership = this.#membership;
    const startedAt = clock.now();
    const read = await membership.refresh();
    const canClaim = read && membership.isActive && membership.isSettled;
    if (canClaim && !this.#stopping) this.#claimShards();
    return Math.max(0, startedAt + membership.periodMs - clock.now());
  }

  /** Gives all shards up. */
  async release(): Promise<void> {
    this.#stopping = true;
    this.#membership.stopAccepting();
    const owned = [...this.#owned.values()];
    this.#owned.clear();
    await Promise.all(owned.map((shard) => shard.release()));
    if (this.#membership.isActive) await this.#membership.heartbeat();
  }

  #claimShards(): void {
    const { self, clock, catalog, isFollowing } = this.deps;
    if (catalog.current === undefined || !isFollowing()) return;
    const now = clock.now();
    const members = this.#membership.live();
    const shards = this.#allShards(catalog.current);
    const assigned = assignShards(shards, members, selectCandidates(members));
    for (const shard of this.#unownedSince.keys()) {
      if (!assigned.has(shard)) this.#unownedSince.delete(shard);
    }
    for (const [shard, entry] of assigned) {
      const since = this.#unownedSince.get(shard) ?? now;
      this.#unownedSince.set(shard, since);
      const mayTake = entry === self.entry || now - since > claimFallbackMs;
      if (mayTake && !this.#acquiring.has(shard)) this.#acquire(shard, members);
    }
    this.#rebalance(members);
  }

  /** The fleet, and each pool that serves callers or has served them. */
  #allShards({ pools }: Catalog): readonly string[] {
    const servingPools = pools.filter((pool) => !pool.standby);
    return [fleetShard, ...servingPools.map((pool) => pool.name)];
  }

  #rebalance(members: readonly ClusterMember[]): void {
    const { self, clock, log } = this.deps;
    if (clock.now() - this.#rebalancedAt < minRebalanceIntervalMs) return;
    // The fleet stays: two holders of host orders must not follow closely.
    const shard = shardToRelease(self.entry, members, fleetShard);
    const owned = shard === undefined ? undefined : this.#owned.get(shard);
    if (shard === undefined || owned === undefined || !owned.isQuiet) return;
    this.#rebalancedAt = clock.now();
    this.#owned.delete(shard);
    log.decision("shard-released", { shard, reason: "balance" });
    owned.release().then(() => this.#membership.heartbeat());
  }

  async #acquire(
    shard: string,
    members: readonly ClusterMember[],
  ): Promise<void> {
    const { store, self, clock, log } = this.deps;
    this.#acquiring.add(shard);
    try {
      const read = await readOwner(store, shard);
      if (read.err || this.#stopping) return;
      const { owner, version } = read.val;
      const boots = new Set(members.map((m) => m.boot));
      const isHeld = owner !== undefined && owner.boot !== self.boot &&
        boots.has(owner.boot);
      if (isHeld && !this.#isOwnerSilent(shard, version)) return;
      const lease = await ShardLease.acquire(
        store,
        clock,
        shard,
        { entry: self.entry, boot: self.boot },
        read.val,
      );
      if (lease === undefined || this.#stopping) return;
      log.decision("shard-taken", {
        shard,
        term: lease.term,
        from: owner?.entry,
        version,
      });
      await this.#runOwner(shard, lease, this.#previousOwner(owner));
    } finally {
      this.#acquiring.delete(shard);
    }
  }

  /** Whether a live member's owner row has stood still for a whole lease. */
  #isOwnerSilent(shard: string, version: number): boolean {
    const now = this.deps.clock.now();
    const seen = this.#ownerObservations.get(shard);
    if (seen?.version !== version) {
      this.#ownerObservations.set(shard, { version, firstSeenAt: now });
      return false;
    }
    return now - seen.firstSeenAt > memberLeaseMs;
  }

  /** Whether an earlier owner may go on ordering without the store. */
  #previousOwner(owner: OwnerRecord | undefined): PreviousOwner {
    if (owner === undefined || owner.boot === "") return "ended";
    const hasEnded = this.#membership.hasProcessEnded(owner.entry, owner.boot);
    return hasEnded ? "ended" : "silent";
  }

  async #runOwner(
    shard: string,
    lease: ShardLease,
    previous: PreviousOwner,
  ): Promise<void> {
    if (shard === fleetShard) {
      this.#owned.set(shard, this.#runFleetOwner(lease, previous));
      return;
    }
    const owner = new ShardOwner({
      ...this.deps,
      shard,
      lease,
      previous,
      lost: () => this.#removeOwned(shard, owner),
    });
    this.#owned.set(shard, owner);
    if (await owner.start()) {
      this.#membership.heartbeat();
      return;
    }
    owner.stop();
    this.#removeOwned(shard, owner);
  }

  #runFleetOwner(lease: ShardLease, previous: PreviousOwner): OwnedShard {
    const { deps } = this;
    const owner = new FleetOwner({
      ...deps,
      entry: deps.self.entry,
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
    const reconcile = async (): Promise<void> => {
      if (stopped) return;
      const delayMs = await owner.reconcile();
      if (lease.isLost) this.#removeOwned(fleetShard, owned);
      else deps.clock.after(delayMs, reconcile);
    };
    reconcile();
    return owned;
  }

  #removeOwned(shard: string, owner: OwnedShard): void {
    if (this.#owned.get(shard) === owner) this.#owned.delete(shard);
  }
}
