/**
 * Acquires and releases shards in coordination with the other entries, through
 * the store, and runs an owner for each shard that this entry holds.
 */
import type { Catalog } from "../catalog/index.ts";
import {
  assignShards,
  type ClusterMember,
  compareByPreference,
  fleetShard,
  livenessCommitAgeMs,
  memberLeaseMs,
  type OwnerRecord,
  type OwnerRow,
  poolOfShard,
  type PreviousOwner,
  readOwner,
  selectCandidates,
  ShardLease,
  shardOfPool,
  shardToRelease,
} from "../cluster/index.ts";
import { ShardOwner } from "../scheduler/index.ts";
import { FleetOwner, type VacateState } from "../upkeep/index.ts";
import type { EntryDependencies } from "./entry_dependencies.ts";
import { Membership } from "./membership.ts";

/**
 * Time after which any entry may acquire an unowned shard, in ms. The entry
 * that the shard is assigned to may have another view of the members, or may be
 * unable to reach the store.
 */
const claimFallbackMs = 1_000;

/** Pause of the fleet's control loop after an error, in ms. */
const crashPauseMs = 1_000;

/** Minimum time between two releases that balance the load, in ms. */
const minRebalanceIntervalMs = 5_000;

/** Dependencies of the shard manager. */
export interface ShardManagerDependencies extends EntryDependencies {
  /** Endpoints to vacate, by id. */
  readonly vacating: () => ReadonlyMap<string, VacateState>;
  /** Ids of the endpoints that are to be vacated later in a wave. */
  readonly plannedVacates: () => ReadonlySet<string>;
  /** Reads the endpoints to vacate again from the store; false on failure. */
  readonly refreshVacating: () => Promise<boolean>;
  /** Whether the operator's table and the endpoint registry have been read. */
  readonly isFollowing: () => boolean;
  /** Called after each answer of the store. */
  readonly onStoreAnswer: () => void;
}

/** Handle of a running shard owner. */
interface OwnedShard {
  /** Whether no work waits, so that a change of owner causes no delay. */
  readonly isQuiet: boolean;
  stop(): void;
  release(): Promise<void>;
}

/** A version of an owner row and when it was first read. */
interface OwnerObservation {
  readonly version: number;
  /** Monotonic time, in ms. */
  readonly firstSeenAt: number;
}

/** Acquires, runs and releases the shards of this entry. */
export class ShardManager {
  readonly #owned = new Map<string, OwnedShard>();
  /** Shards whose acquisition is in progress. */
  readonly #acquiring = new Set<string>();
  /** Monotonic time since which no live member holds a shard. */
  readonly #unownedSince = new Map<string, number>();
  /** Owner rows as last read, to detect holders that stopped renewing. */
  readonly #ownerObservations = new Map<string, OwnerObservation>();
  readonly #membership: Membership;
  /** Shard that was claimed last of those left unclaimed. */
  #lastClaimed: string | undefined;
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

  /** Number of shards that this entry owns. */
  get size(): number {
    return this.#owned.size;
  }

  /** Whether this entry owns shards or may acquire some. */
  get isActive(): boolean {
    return this.#membership.isActive;
  }

  /**
   * Refreshes the membership and claims shards. Returns the delay until the
   * next call, in ms.
   */
  async refresh(): Promise<number> {
    const { clock } = this.deps;
    const membership = this.#membership;
    const startedAt = clock.now();
    const read = await membership.refresh();
    const canClaim = read && membership.isActive && membership.isSettled;
    if (canClaim && !this.#stopping) this.#claimShards();
    return Math.max(0, startedAt + membership.periodMs - clock.now());
  }

  /** Releases all shards and acquires no more. */
  async release(): Promise<void> {
    this.#stopping = true;
    this.#membership.stopAccepting();
    const owned = [...this.#owned.values()];
    this.#owned.clear();
    await Promise.all(owned.map((shard) => shard.release()));
    if (this.#membership.isActive) await this.#membership.heartbeat();
  }

  /** Acquires unowned shards that are assigned here or were left unclaimed. */
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
      if (!this.#unownedSince.has(shard)) this.#unownedSince.set(shard, now);
      if (entry === self.entry) this.#startAcquiring(shard, members);
    }
    this.#claimUnclaimed(members, now);
    this.#rebalance(members);
  }

  /**
   * Acquires one of the shards that have been left unclaimed, unless this entry
   * is still reading another: one entry alone would take all of them at once, and
   * read the state of each too slowly. The entries begin with different shards.
   */
  #claimUnclaimed(members: readonly ClusterMember[], now: number): void {
    if (this.#acquiring.size > 0) return;
    const unclaimed = [...this.#unownedSince]
      .filter(([, since]) => now - since > claimFallbackMs)
      .map(([shard]) => shard)
      .sort(compareByPreference(this.deps.self.entry));
    const [first] = unclaimed;
    const next = unclaimed.find((shard) => shard !== this.#lastClaimed);
    this.#lastClaimed = next ?? first;
    if (this.#lastClaimed === undefined) return;
    this.#startAcquiring(this.#lastClaimed, members);
  }

  #startAcquiring(shard: string, members: readonly ClusterMember[]): void {
    if (this.#acquiring.has(shard)) return;
    this.#acquire(shard, members).catch((err) =>
      this.deps.onCrash(`acquire ${shard}`, err)
    );
  }

  /** The fleet shard, and one shard for each pool that is not standby. */
  #allShards({ pools }: Catalog): readonly string[] {
    const servingPools = pools.filter((pool) => !pool.standby);
    return [fleetShard, ...servingPools.map(({ name }) => shardOfPool(name))];
  }

  /** Releases a shard without waiting work if another entry has less load. */
  #rebalance(members: readonly ClusterMember[]): void {
    const { self, clock, log } = this.deps;
    if (clock.now() - this.#rebalancedAt < minRebalanceIntervalMs) return;
    // The fleet shard is never moved for balance: its owners send orders about
    // hosts and must not succeed one another within a short time.
    const shard = shardToRelease(self.entry, members, fleetShard);
    const owned = shard === undefined ? undefined : this.#owned.get(shard);
    if (shard === undefined || owned === undefined || !owned.isQuiet) return;
    this.#rebalancedAt = clock.now();
    this.#owned.delete(shard);
    log.decision("shard-released", { shard, reason: "balance" });
    owned.release().then(() => this.#membership.heartbeat()).catch((err) =>
      this.deps.onCrash(`release ${shard}`, err)
    );
  }

  /** Acquires a shard, unless a live owner holds it, and runs its owner. */
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
      const previous = this.#previousOwner(read.val);
      if (!isHeld && this.#isHolderAlive(owner, previous)) return;
      const lease = await ShardLease.acquire(
        store,
        clock,
        shard,
        { entry: self.entry, boot: self.boot },
        read.val,
        previous.state,
      );
      if (lease === undefined) return;
      if (this.#stopping) {
        await lease.release();
        return;
      }
      log.decision("shard-taken", {
        shard,
        term: lease.term,
        from: owner?.entry,
        previous: previous.state,
        version,
        committedMs: this.#sinceCommit(previous),
      });
      await this.#runOwner(shard, lease, previous);
    } finally {
      this.#acquiring.delete(shard);
    }
  }

  /** Whether a live member's owner row has not changed for a full lease. */
  #isOwnerSilent(shard: string, version: number): boolean {
    const now = this.deps.clock.now();
    const seen = this.#ownerObservations.get(shard);
    if (seen?.version !== version) {
      this.#ownerObservations.set(shard, { version, firstSeenAt: now });
      return false;
    }
    return now - seen.firstSeenAt > memberLeaseMs;
  }

  /**
   * What is known about the previous owners, which may still send orders and
   * whose leases may still last. The last one may have taken over from a silent
   * one a short time ago, also if it was this process.
   */
  #previousOwner({ owner, version }: OwnerRow): PreviousOwner {
    if (owner === undefined) return { state: "ended" };
    const { entry, boot, previous } = owner;
    const hasEnded = boot === "" ||
      this.#membership.hasProcessEnded(entry, boot);
    if (hasEnded && previous === "ended") return { state: "ended" };
    const committedBy = this.#membership.writtenBy(version);
    if (!hasEnded) return { state: "silent", committedBy };
    // The silent owner is the one before the holder. Its last commit was at least
    // this old when the holder took over.
    const latest = this.deps.clock.now() - livenessCommitAgeMs;
    return { state: "silent", committedBy: Math.min(committedBy, latest) };
  }

  /**
   * Whether the holder of a shard, which sends no heartbeats, has committed a
   * short time ago: the partition that holds them may be unavailable.
   */
  #isHolderAlive(
    holder: OwnerRecord | undefined,
    previous: PreviousOwner,
  ): boolean {
    const { self, clock } = this.deps;
    if (holder === undefined || previous.state === "ended") return false;
    const isOther = holder.boot !== "" && holder.entry !== self.entry;
    return isOther && clock.now() - previous.committedBy < livenessCommitAgeMs;
  }

  /** Least time since the last commit of a silent owner, in ms, for the log. */
  #sinceCommit(previous: PreviousOwner): number | undefined {
    if (previous.state === "ended") return undefined;
    return Math.round(this.deps.clock.now() - previous.committedBy);
  }

  /** Starts the owner of an acquired shard; releases it if that fails. */
  async #runOwner(
    shard: string,
    lease: ShardLease,
    previous: PreviousOwner,
  ): Promise<void> {
    const pool = poolOfShard(shard);
    if (pool === undefined) {
      this.#owned.set(shard, this.#runFleetOwner(lease, previous));
      return;
    }
    const owner = new ShardOwner({
      ...this.deps,
      shard: pool,
      lease,
      previous,
      areHeartbeatsLate: () => this.#membership.areHeartbeatsLate,
      onLost: () => this.#removeOwned(shard, owner),
    });
    this.#owned.set(shard, owner);
    if (await owner.start()) {
      this.#membership.heartbeat();
      return;
    }
    this.#removeOwned(shard, owner);
    await owner.release();
  }

  /** Starts the control loop of the fleet shard. */
  #runFleetOwner(lease: ShardLease, previous: PreviousOwner): OwnedShard {
    const { deps } = this;
    const owner = new FleetOwner({
      ...deps,
      entry: deps.self.entry,
      lease,
      previous,
      areHeartbeatsLate: () => this.#membership.areHeartbeatsLate,
    });
    let stopped = false;
    const owned: OwnedShard = {
      isQuiet: false,
      stop: () => {
        stopped = true;
        owner.stop();
      },
      release: async () => {
        stopped = true;
        owner.stop();
        await lease.release();
      },
    };
    const reconcile = async (): Promise<void> => {
      if (stopped) return;
      let delayMs = crashPauseMs;
      try {
        delayMs = await owner.reconcile();
      } catch (err) {
        deps.onCrash("fleet", err);
      }
      if (lease.isLost) this.#removeOwned(fleetShard, owned);
      else deps.clock.after(delayMs, reconcile);
    };
    reconcile();
    return owned;
  }

  /** Forgets a shard that its owner has lost. */
  #removeOwned(shard: string, owner: OwnedShard): void {
    if (this.#owned.get(shard) === owner) this.#owned.delete(shard);
  }
}
