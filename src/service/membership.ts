/**
 * This entry among the others: whether it shows that it lives, and who else
 * does.
 *
 * An active entry beats and follows the others' heartbeats closely. One that
 * owns nothing and is no candidate withdraws its row and looks only now and
 * then whether it is needed, so that it costs next to nothing.
 */
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
  type Row,
  type RowKey,
  TableWatch,
} from "../store/index.ts";
import type { EntryDependencies } from "./entry_parts.ts";

/** Time between two heartbeats, in ms; three fit into a member's lease. */
const heartbeatMs = 450;

/** Time between two looks of an entry that is not active, in ms. */
const idlePeriodMs = 3_000;

/** Time after the start until which all entries are active, in ms. */
const startupSettleMs = 800;

/** Time after which the row of a member that fell silent is removed, in ms. */
const removeSilentAfterMs = 30_000;

const membersTable = "members";

/** What the membership works with. */
export interface MembershipDependencies
  extends Pick<EntryDependencies, "self" | "store" | "clock" | "log"> {
  /** Shards that this entry owns. */
  readonly shards: () => readonly string[];
  /** Whether it is taking another one. */
  readonly isAcquiring: () => boolean;
  /** Called after each answer of the store. */
  readonly onStoreAnswer: () => void;
}

/** One entry's membership. */
export class Membership {
  readonly #watch: TableWatch;
  readonly #rows = new Map<string, Row>();
  readonly #startedAt: number;
  #view = MemberView.empty;
  #isActive = true;
  #hasStoppedAccepting = false;
  /** Time that the last heartbeat took, in ms. */
  #heartbeatDelayMs = 0;
  /** Steady time at which a heartbeat without an answer was sent. */
  #pendingSince: number | undefined;

  constructor(private readonly deps: MembershipDependencies) {
    this.#startedAt = deps.clock.now();
    this.#watch = new TableWatch(
      deps.store,
      membersTable,
      partitionsOf(membersTable),
      mapHandler(this.#rows, (row) => row),
    );
  }

  /** Whether this entry beats, and may take shards. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** Whether the other entries have had the time to show. */
  get isSettled(): boolean {
    return this.deps.clock.now() - this.#startedAt > startupSettleMs;
  }

  /** Time from the start of one pass to that of the next, in ms. */
  get periodMs(): number {
    return this.#isActive ? heartbeatMs : idlePeriodMs;
  }

  /** Beats, if active, and reads the others; false when it can't read. */
  async refresh(): Promise<boolean> {
    const { clock, onStoreAnswer } = this.deps;
    const { periodMs } = this;
    const [, read] = await Promise.all([
      this.#isActive ? this.heartbeat() : undefined,
      this.#watch.poll(0),
    ]);
    if (read.err) return false;
    onStoreAnswer();
    const rows = [...this.#rows.values()];
    this.#view = this.#view.observe(rows, clock.now(), periodMs);
    if (this.isSettled) await this.#updateActivity();
    return true;
  }

  /** The live members, this entry among them when it is active. */
  live(): readonly ClusterMember[] {
    const others = this.#liveOthers();
    return this.#isActive ? [...others, this.#memberRecord()] : others;
  }

  /** Whether the process that the boot identifies has ended. */
  hasProcessEnded(entry: string, boot: string): boolean {
    if (entry === this.deps.self.entry) return true;
    const row = this.#rows.get(entry);
    const member = row && parseJson(memberSchema, row.value);
    return member !== undefined && member.boot !== boot;
  }

  /** Says no longer that this entry takes shards. */
  stopAccepting(): void {
    this.#hasStoppedAccepting = true;
  }

  /** Shows that this entry lives, and what it owns. */
  async heartbeat(): Promise<void> {
    const { store, clock, log, onStoreAnswer } = this.deps;
    const value = JSON.stringify(this.#memberRecord());
    const sentAt = clock.now();
    this.#pendingSince = sentAt;
    const outcome = await store.commit({
      checks: [],
      puts: [{ ...this.#rowKey(this.deps.self.entry), value }],
      removes: [],
    });
    this.#pendingSince = undefined;
    this.#heartbeatDelayMs = clock.now() - sentAt;
    if (outcome.ok) onStoreAnswer();
    else log.decision("heartbeat-failed", { message: outcome.val.message });
  }

  #rowKey(entry: string): RowKey {
    const partition = partitionOf(membersTable, entry);
    return { table: membersTable, partition, key: entry };
  }

  #memberRecord(): ClusterMember {
    const { self, shards } = this.deps;
    const { entry, boot, zone, cores } = self;
    const accepting = !this.#hasStoppedAccepting;
    return { entry, boot, zone, cores, shards: [...shards()], accepting };
  }

  #liveOthers(): readonly ClusterMember[] {
    const { clock, self } = this.deps;
    const now = clock.now();
    const pendingMs = this.#pendingSince === undefined
      ? 0
      : now - this.#pendingSince;
    const delayMs = Math.max(this.#heartbeatDelayMs, pendingMs);
    const readIntervalMs = this.#isActive ? 0 : idlePeriodMs;
    return this.#view.live(now, delayMs, readIntervalMs)
      .filter((m) => m.entry !== self.entry);
  }

  /** Decides whether this entry has to be active, and tidies the table. */
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

  /** Removes the own row, which only this entry writes. */
  async #removeOwnRow(): Promise<void> {
    const { store, self } = this.deps;
    const removes = [this.#rowKey(self.entry)];
    await store.commit({ checks: [], puts: [], removes });
  }

  /** Removes the rows of members that are gone for good. */
  async #removeSilentMembers(): Promise<void> {
    const now = this.deps.clock.now();
    const silentEntries = this.#view.unchangedFor(removeSilentAfterMs, now);
    for (const entry of silentEntries) await this.#removeIfUnchanged(entry);
  }

  /** Removes a row unless its member has written it again. */
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
