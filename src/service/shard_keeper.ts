/**
 * Decides with the other entries, through the store, which shards this entry
 * owns, and runs their owners.
 */
import type { Catalog } from "../catalog/index.ts";
import {
  assignShards,
  type Member,
  memberLeaseMs,
  memberSchema,
  MemberView,
  type Owner,
  type PreviousOwner,
  readOwner,
  ShardLease,
  shardToRelease,
} from "../cluster/index.ts";
import { ShardOwner } from "../scheduler/index.ts";
import {
  keepRows,
  parseJson,
  partitionOf,
  partitionsOf,
  type Row,
  TableWatch,
} from "../store/index.ts";
import { FleetOwner, fleetShard, type VacateState } from "../upkeep/index.ts";
import type { EntryParts } from "./entry_parts.ts";

/** Time between two heartbeats, in ms; three fit into a member's lease. */
const heartbeatMs = 450;

/** Time after the start before shards are taken, so that all members show. */
const settleMs = 800;

/**
 * Time after which any entry takes a shard that nobody holds, in ms: the one
 * that should may see the others differently, or not reach the store.
 */
const passedOverMs = 1_000;

/** Least time between two releases for the sake of balance, in ms. */
const rebalanceMs = 5_000;

const membersTable = "members";

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
  readonly #members: TableWatch;
  readonly #memberRows = new Map<string, Row>();
  readonly #startedAt: number;
  #view = MemberView.empty;
  #releasedAt: number;
  /** Time that the last heartbeat took, in ms. */
  #delayMs = 0;
  /** Steady time at which a heartbeat without an answer was sent. */
  #sentAt: number | undefined;
  #stopping = false;

  constructor(private readonly parts: ShardKeeperParts) {
    this.#startedAt = parts.clock.now();
    this.#releasedAt = this.#startedAt;
    const partitions = partitionsOf(membersTable);
    this.#members = new TableWatch(
      parts.store,
      membersTable,
      partitions,
      keepRows(this.#memberRows, (row) => row),
    );
  }

  get size(): number {
    return this.#owned.size;
  }

  /** One heartbeat; returns the time until the next, in ms. */
  async pass(): Promise<number> {
    const { clock } = this.parts;
    const startedAt = clock.now();
    const [, read] = await Promise.all([
      this.#heartbeat(),
      this.#members.poll(0),
    ]);
    if (read.ok && !this.#stopping) {
      this.parts.storeSeen();
      const rows = [...this.#memberRows.values()];
      this.#view = this.#view.observe(rows, clock.now());
      if (clock.now() - this.#startedAt > settleMs) this.#claim();
    }
    return Math.max(0, startedAt + heartbeatMs - clock.now());
  }

  /** Gives all shards up. */
  async release(): Promise<void> {
    this.#stopping = true;
    const owned = [...this.#owned.values()];
    this.#owned.clear();
    await Promise.all(owned.map((shard) => shard.release()));
    await this.#heartbeat();
  }

  async #heartbeat(): Promise<void> {
    const { store, clock, log } = this.parts;
    const key = {
      table: membersTable,
      partition: partitionOf(membersTable, this.parts.self.entry),
      key: this.parts.self.entry,
    };
    const value = JSON.stringify(this.#describe());
    const sentAt = clock.now();
    this.#sentAt = sentAt;
    const sent = await store.commit({
      checks: [],
      puts: [{ ...key, value }],
      removes: [],
    });
    this.#sentAt = undefined;
    this.#delayMs = clock.now() - sentAt;
    if (sent.ok) this.parts.storeSeen();
    else log.decision("heartbeat-failed", { message: sent.val.message });
  }

  #describe(): Member {
    const shards = [...this.#owned.keys()];
    return { ...this.parts.self, shards, accepting: !this.#stopping };
  }

  #claim(): void {
    const { self, clock, catalog, isFollowing } = this.parts;
    if (catalog.current === undefined || !isFollowing()) return;
    const now = clock.now();
    const pendingMs = this.#sentAt === undefined ? 0 : now - this.#sentAt;
    const others = this.#view.live(now, Math.max(this.#delayMs, pendingMs))
      .filter((m) => m.entry !== self.entry);
    const members = [...others, this.#describe()];
    const assigned = assignShards(this.#shards(catalog.current), members);
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
    owned.release().then(() => this.#heartbeat());
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
    const row = this.#memberRows.get(owner.entry);
    const member = row && parseJson(memberSchema, row.value);
    const restarted = member !== undefined && member.boot !== owner.boot;
    const isOwn = owner.entry === this.parts.self.entry;
    return restarted || isOwn ? "ended" : "silent";
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
      this.#heartbeat();
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
