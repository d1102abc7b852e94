/**
 * Cluster membership of this entry: its own heartbeat and its view of the other
 * members.
 *
 * An active entry sends heartbeats and reads those of the others at the same
 * rate. An entry that owns no shard and is not a candidate removes its row and
 * only checks every few seconds whether it is needed, which keeps its store
 * cost low.
 */
import type { Result } from "ts-results";
import {
  type ClusterMember,
  memberSchema,
  MemberView,
  selectCandidates,
} from "../cluster/index.ts";
import {
  mapHandler,
  parseJson,
  partitionOf,
  partitionsOf,
  type StoreCommitOutcome,
  type StoreFailure,
  type StoreRow,
  type StoreRowKey,
  TableWatch,
  VersionHistory,
} from "../store/index.ts";
import type { EntryDependencies } from "./entry_dependencies.ts";

/** Heartbeat interval, in ms; three fit into a member's lease. */
const heartbeatMs = 450;

/** Interval at which an inactive entry reads the members, in ms. */
const inactivePeriodMs = 3_000;

/** Time after the start for which every entry stays active, in ms. */
const startupSettleMs = 800;

/**
 * Age of the last confirmed heartbeat from which further ones are late, in ms, if
 * the store adds no delay.
 */
const lateHeartbeatMs = 2 * heartbeatMs;

/** Time without a heartbeat after which a member's row is removed, in ms. */
const removeSilentAfterMs = 30_000;

/** Table of the members' heartbeat rows. */
const membersTable = "members";

/** Dependencies of the membership. */
export interface MembershipDependencies
  extends Pick<EntryDependencies, "self" | "store" | "clock" | "log"> {
  /** Shards that this entry owns. */
  readonly shards: () => readonly string[];
  /** Whether this entry is acquiring a shard. */
  readonly isAcquiring: () => boolean;
  /** Called after each answer of the store. */
  readonly onStoreAnswer: () => void;
}

/** Membership of one entry. */
export class Membership {
  readonly #watch: TableWatch;
  readonly #rows = new Map<string, StoreRow>();
  /** Versions of the store in the answers to the reads of the members. */
  readonly #versions = new VersionHistory();
  readonly #startedAt: number;
  #view = MemberView.empty;
  #isActive = true;
  #hasStoppedAccepting = false;
  /** The last confirmed heartbeat: its monotonic time and duration, in ms. */
  #confirmed: { readonly sentAt: number; readonly delayMs: number };
  /** Version of this entry's row; undefined if this process has written none. */
  #ownVersion: number | undefined;
  /** Duration of the last completed heartbeat, in ms. */
  #heartbeatDelayMs = 0;
  /** Monotonic time at which a heartbeat still in flight was sent. */
  #pendingSince: number | undefined;

  constructor(private readonly deps: MembershipDependencies) {
    this.#startedAt = deps.clock.now();
    this.#confirmed = { sentAt: this.#startedAt, delayMs: 0 };
    this.#watch = new TableWatch(
      deps.store,
      membersTable,
      partitionsOf(membersTable),
      mapHandler(this.#rows, (row) => row),
    );
  }

  /** Whether this entry sends heartbeats and may acquire shards. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** Whether the other entries have had time to send a first heartbeat. */
  get isSettled(): boolean {
    return this.deps.clock.now() - this.#startedAt > startupSettleMs;
  }

  /** Time between the starts of two calls of `refresh`, in ms. */
  get periodMs(): number {
    return this.#isActive ? heartbeatMs : inactivePeriodMs;
  }

  /**
   * Sends a heartbeat, if active, and reads the other members. Returns false if
   * the read fails.
   */
  async refresh(): Promise<boolean> {
    const { clock, onStoreAnswer } = this.deps;
    const { periodMs } = this;
    const [, read] = await Promise.all([
      this.#isActive ? this.heartbeat() : undefined,
      this.#poll(),
    ]);
    if (read.err) return false;
    onStoreAnswer();
    const rows = [...this.#rows.values()];
    this.#view = this.#view.observe(rows, clock.now(), periodMs);
    if (this.isSettled) await this.#updateActivity();
    return true;
  }

  /** Reads the changes of the members' rows. */
  async #poll(): Promise<Result<void, StoreFailure>> {
    const { clock } = this.deps;
    const sentAt = clock.now();
    const polled = await this.#watch.poll(0);
    const { version } = this.#watch;
    if (polled.ok && version !== undefined) {
      this.#versions.add(version, sentAt, clock.now());
    }
    return polled;
  }

  /**
   * Returns the earliest monotonic time, in ms, by which a row of this version is
   * known to have been written. A row that no answer tells of exists by now.
   */
  writtenBy(version: number): number {
    return this.#versions.writtenBy(version) ?? this.deps.clock.now();
  }

  /** The live members, including this entry if it is active. */
  live(): readonly ClusterMember[] {
    const others = this.#liveOthers();
    return this.#isActive ? [...others, this.#memberRecord()] : others;
  }

  /** Whether the process identified by `boot` is known to have ended. */
  hasProcessEnded(entry: string, boot: string): boolean {
    if (entry === this.deps.self.entry) return true;
    const row = this.#rows.get(entry);
    const member = row && parseJson(memberSchema, row.value);
    return member !== undefined && member.boot !== boot;
  }

  /**
   * Whether the heartbeats of this entry have not been confirmed for some time. A
   * slow store alone does not make them late.
   */
  get areHeartbeatsLate(): boolean {
    const { sentAt, delayMs } = this.#confirmed;
    return this.deps.clock.now() - sentAt > lateHeartbeatMs + delayMs;
  }

  /** Makes further heartbeats say that this entry accepts no more shards. */
  stopAccepting(): void {
    this.#hasStoppedAccepting = true;
  }

  /** Writes this entry's heartbeat row, which also lists its shards. */
  async heartbeat(): Promise<void> {
    const { clock, log, onStoreAnswer } = this.deps;
    const sentAt = clock.now();
    this.#pendingSince = sentAt;
    let outcome = await this.#writeOwnRow();
    const isOutdated = outcome.ok && outcome.val.kind === "conflict";
    if (isOutdated) outcome = await this.#writeOwnRow();
    this.#pendingSince = undefined;
    this.#heartbeatDelayMs = clock.now() - sentAt;
    if (outcome.err) {
      log.decision("heartbeat-failed", { message: outcome.val.message });
      return;
    }
    onStoreAnswer();
    if (outcome.val.kind === "conflict") return;
    this.#confirmed = { sentAt, delayMs: this.#heartbeatDelayMs };
  }

  /**
   * Writes this entry's row unless it has changed since this process last wrote or
   * read it. So a delayed write has no effect once a later one, also of a restarted
   * process, has changed the row. A conflict tells the row's present version.
   */
  async #writeOwnRow(): Promise<Result<StoreCommitOutcome, StoreFailure>> {
    const key = this.#rowKey(this.deps.self.entry);
    const version = this.#ownVersion;
    const outcome = await this.deps.store.commit({
      checks: version === undefined ? [] : [{ ...key, version }],
      puts: [{ ...key, value: JSON.stringify(this.#memberRecord()) }],
      removes: [],
    });
    if (outcome.ok) {
      this.#ownVersion = outcome.val.kind === "committed"
        ? outcome.val.version
        : outcome.val.rows[0]?.version ?? 0;
    }
    return outcome;
  }

  #rowKey(entry: string): StoreRowKey {
    const partition = partitionOf(membersTable, entry);
    return { table: membersTable, partition, key: entry };
  }

  /** Content of this entry's heartbeat row. */
  #memberRecord(): ClusterMember {
    const { self, shards } = this.deps;
    const { entry, boot, zone, cores } = self;
    const accepting = !this.#hasStoppedAccepting;
    const delayMs = Math.round(this.#heartbeatDelayMs);
    const owned = [...shards()];
    return { entry, boot, zone, cores, shards: owned, accepting, delayMs };
  }

  /** The live members other than this entry. */
  #liveOthers(): readonly ClusterMember[] {
    const { clock, self } = this.deps;
    const now = clock.now();
    const pendingMs = this.#pendingSince === undefined
      ? 0
      : now - this.#pendingSince;
    const delayMs = Math.max(this.#heartbeatDelayMs, pendingMs);
    const readIntervalMs = this.#isActive ? 0 : inactivePeriodMs;
    return this.#view.live(now, delayMs, readIntervalMs)
      .filter((m) => m.entry !== self.entry);
  }

  /** Updates whether this entry is active; if so, removes stale rows. */
  async #updateActivity(): Promise<void> {
    const { log, self } = this.deps;
    const others = this.#liveOthers();
    const isOwner = this.deps.shards().length > 0 || this.deps.isAcquiring();
    const isCandidate = selectCandidates([...others, this.#memberRecord()])
      .some((m) => m.entry === self.entry);
    const isActive = isOwner || isCandidate || this.#hasStoppedAccepting;
    if (isActive !== this.#isActive) {
      this.#isActive = isActive;
      const members = others.length;
      log.decision(isActive ? "member-active" : "member-idle", { members });
      if (isActive) await this.heartbeat();
      else await this.#removeOwnRow();
    }
    if (isActive) await this.#removeSilentMembers();
  }

  /** Removes this entry's row; unchecked, as only this entry writes it. */
  async #removeOwnRow(): Promise<void> {
    const { store, self } = this.deps;
    const removes = [this.#rowKey(self.entry)];
    this.#ownVersion = undefined;
    await store.commit({ checks: [], puts: [], removes });
  }

  /** Removes the rows of members without a heartbeat for a long time. */
  async #removeSilentMembers(): Promise<void> {
    const now = this.deps.clock.now();
    const silentEntries = this.#view.unchangedFor(removeSilentAfterMs, now);
    for (const entry of silentEntries) await this.#removeIfUnchanged(entry);
  }

  /** Removes a member's row unless it has been written since it was read. */
  async #removeIfUnchanged(entry: string): Promise<void> {
    const { store, log } = this.deps;
    const row = this.#rows.get(entry);
    if (row === undefined) return;
    const key = this.#rowKey(entry);
    const checks = [{ ...key, version: row.version }];
    const outcome = await store.commit({ checks, puts: [], removes: [key] });
    const removed = outcome.ok && outcome.val.kind === "committed";
    log.decision("member-forgotten", { member: entry, removed });
  }
}
