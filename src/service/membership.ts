/**
 * This entry among the others: whether it shows that it lives, and who else
 * does.
 *
 * An active entry beats and follows the others' heartbeats closely. One that
 * owns nothing and is no candidate withdraws its row and looks only now and
 * then whether it is needed, so that it costs next to nothing.
 */
import {
  candidatesOf,
  type Member,
  memberSchema,
  MemberView,
} from "../cluster/index.ts";
import {
  keepRows,
  parseJson,
  partitionOf,
  partitionsOf,
  type Row,
  type RowKey,
  TableWatch,
} from "../store/index.ts";
import type { EntryParts } from "./entry_parts.ts";

/** Time between two heartbeats, in ms; three fit into a member's lease. */
const heartbeatMs = 450;

/** Time between two looks of an entry that is not active, in ms. */
const idleLookMs = 3_000;

/** Time after the start until which all entries are active, in ms. */
const settleMs = 800;

/** Time after which the row of a member that fell silent is removed, in ms. */
const forgetMs = 30_000;

const membersTable = "members";

/** What the membership works with. */
export interface MembershipParts
  extends Pick<EntryParts, "self" | "store" | "clock" | "log"> {
  /** Shards that this entry owns. */
  readonly shards: () => readonly string[];
  /** Whether it is taking another one. */
  readonly isTaking: () => boolean;
  /** Called after each answer of the store. */
  readonly storeSeen: () => void;
}

/** One entry's membership. */
export class Membership {
  readonly #watch: TableWatch;
  readonly #rows = new Map<string, Row>();
  readonly #startedAt: number;
  #view = MemberView.empty;
  #isActive = true;
  #isLeaving = false;
  /** Time that the last heartbeat took, in ms. */
  #delayMs = 0;
  /** Steady time at which a heartbeat without an answer was sent. */
  #sentAt: number | undefined;

  constructor(private readonly parts: MembershipParts) {
    this.#startedAt = parts.clock.now();
    this.#watch = new TableWatch(
      parts.store,
      membersTable,
      partitionsOf(membersTable),
      keepRows(this.#rows, (row) => row),
    );
  }

  /** Whether this entry beats, and may take shards. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** Whether the other entries have had the time to show. */
  get isSettled(): boolean {
    return this.parts.clock.now() - this.#startedAt > settleMs;
  }

  /** Time from the start of one pass to that of the next, in ms. */
  get periodMs(): number {
    return this.#isActive ? heartbeatMs : idleLookMs;
  }

  /** Beats, if active, and reads the others; false when it can't read. */
  async pass(): Promise<boolean> {
    const { clock, storeSeen } = this.parts;
    const { periodMs } = this;
    const [, read] = await Promise.all([
      this.#isActive ? this.heartbeat() : undefined,
      this.#watch.poll(0),
    ]);
    if (read.err) return false;
    storeSeen();
    const rows = [...this.#rows.values()];
    this.#view = this.#view.observe(rows, clock.now(), periodMs);
    if (this.isSettled) await this.#review();
    return true;
  }

  /** The live members, this entry among them when it is active. */
  live(): readonly Member[] {
    const others = this.#others();
    return this.#isActive ? [...others, this.#describe()] : others;
  }

  /** Whether the process that the boot identifies has ended. */
  hasEnded(entry: string, boot: string): boolean {
    if (entry === this.parts.self.entry) return true;
    const row = this.#rows.get(entry);
    const member = row && parseJson(memberSchema, row.value);
    return member !== undefined && member.boot !== boot;
  }

  /** Says no longer that this entry takes shards. */
  leave(): void {
    this.#isLeaving = true;
  }

  /** Shows that this entry lives, and what it owns. */
  async heartbeat(): Promise<void> {
    const { store, clock, log, storeSeen } = this.parts;
    const value = JSON.stringify(this.#describe());
    const sentAt = clock.now();
    this.#sentAt = sentAt;
    const sent = await store.commit({
      checks: [],
      puts: [{ ...this.#key(this.parts.self.entry), value }],
      removes: [],
    });
    this.#sentAt = undefined;
    this.#delayMs = clock.now() - sentAt;
    if (sent.ok) storeSeen();
    else log.decision("heartbeat-failed", { message: sent.val.message });
  }

  #key(entry: string): RowKey {
    const partition = partitionOf(membersTable, entry);
    return { table: membersTable, partition, key: entry };
  }

  #describe(): Member {
    const { self, shards } = this.parts;
    const { entry, boot, zone, cores } = self;
    const accepting = !this.#isLeaving;
    return { entry, boot, zone, cores, shards: [...shards()], accepting };
  }

  #others(): readonly Member[] {
    const { clock, self } = this.parts;
    const now = clock.now();
    const pendingMs = this.#sentAt === undefined ? 0 : now - this.#sentAt;
    const delayMs = Math.max(this.#delayMs, pendingMs);
    const betweenMs = this.#isActive ? 0 : idleLookMs;
    return this.#view.live(now, delayMs, betweenMs)
      .filter((m) => m.entry !== self.entry);
  }

  /** Decides whether this entry has to be active, and tidies the table. */
  async #review(): Promise<void> {
    const { log, self } = this.parts;
    const others = this.#others();
    const owns = this.parts.shards().length > 0 || this.parts.isTaking();
    const isCandidate = candidatesOf([...others, this.#describe()])
      .some((m) => m.entry === self.entry);
    const isActive = owns || isCandidate || this.#isLeaving;
    if (isActive !== this.#isActive) {
      this.#isActive = isActive;
      const members = others.length;
      log.decision(isActive ? "member-active" : "member-idle", { members });
      if (isActive) await this.heartbeat();
      else await this.#withdraw();
    }
    if (isActive) await this.#forgetSilent();
  }

  /** Removes the own row, which only this entry writes. */
  async #withdraw(): Promise<void> {
    const { store, self } = this.parts;
    const removes = [this.#key(self.entry)];
    await store.commit({ checks: [], puts: [], removes });
  }

  /** Removes the rows of members that are gone for good. */
  async #forgetSilent(): Promise<void> {
    const now = this.parts.clock.now();
    const gone = this.#view.silentFor(forgetMs, now);
    for (const entry of gone) await this.#remove(entry);
  }

  /** Removes a row unless its member has written it again. */
  async #remove(entry: string): Promise<void> {
    const { store, log } = this.parts;
    const row = this.#rows.get(entry);
    if (row === undefined) return;
    const key = this.#key(entry);
    const checks = [{ ...key, version: row.version }];
    const sent = await store.commit({ checks, puts: [], removes: [key] });
    const removed = sent.ok && sent.val.kind === "committed";
    log.decision("member-forgotten", { member: entry, removed });
  }
}
