/**
 * Ownership of one shard: a single row that names the holder and counts its
 * terms and commits.
 *
 * Every transaction of the owner expects the row at the version of its last
 * commit and puts it again. So a transaction of an earlier owner, or an
 * earlier one of the same owner that the store performs late, fails its
 * check. The term is the fencing token of all orders to endpoints.
 */
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import { type Clock, delay } from "../clock/index.ts";
import {
  parseJson,
  type Row,
  type RowKey,
  type RowPut,
  type Store,
  type StoreFailure,
} from "../store/index.ts";

/** Table of the owner rows; the partition is the shard. */
export const ownerTable = "owner";
const ownerRowName = "owner";

/** Entries that a commit adds to each transaction: its check and its put. */
export const leaseEntries = 2;

/** Tries to give a shard up before its lease has to run out. */
const maxReleaseAttempts = 8;

/** Pause between two of these tries, in ms. */
const releaseRetryMs = 150;

const ownerSchema = v.object({
  /** Boot of the holder; empty after a release. */
  boot: v.string(),
  entry: v.string(),
  term: v.number(),
  /** Commits of this term. */
  commits: v.number(),
});

/** Content of an owner row. */
export type OwnerRecord = v.InferOutput<typeof ownerSchema>;

/** Why a commit did not happen. */
export type CommitFailure = StoreFailure | {
  readonly kind: "lost";
  readonly message: string;
};

/** Identity of a process start. */
export interface ProcessIdentity {
  readonly entry: string;
  readonly boot: string;
}

/** What is known of the owner before a take-over. */
export type PreviousOwner =
  /** It has released the shard, or its process has ended. */
  | "ended"
  /** It fell silent, and may go on without the store for a while. */
  | "silent";

/** An owner row as read; version 0 when there is none. */
export interface OwnerRow {
  readonly owner: OwnerRecord | undefined;
  readonly version: number;
}

function decodeOwner(row: Row | undefined): OwnerRow {
  const owner = row && parseJson(ownerSchema, row.value);
  return { owner, version: row?.version ?? 0 };
}

function ownerRowKey(shard: string): RowKey {
  return { table: ownerTable, partition: shard, key: ownerRowName };
}

/** Reads a shard's owner row. */
export async function readOwner(
  store: Store,
  shard: string,
): Promise<Result<OwnerRow, StoreFailure>> {
  const rows = await store.range({ table: ownerTable, partition: shard });
  return rows.map((found) =>
    decodeOwner(found.rows.find((r) => r.key === ownerRowName))
  );
}

/** A held shard. */
export class ShardLease {
  #version: number;
  #owner: OwnerRecord;
  #renewedAt: number;
  #renewedAtWall: number;
  #lost = false;

  private constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    readonly shard: string,
    owner: OwnerRecord,
    version: number,
    startedAt: number,
    startedAtWall: number,
  ) {
    this.#owner = owner;
    this.#version = version;
    this.#renewedAt = startedAt;
    this.#renewedAtWall = startedAtWall;
  }

  /** Begins a new term after `previous`; undefined when another was faster. */
  static async acquire(
    store: Store,
    clock: Clock,
    shard: string,
    holder: ProcessIdentity,
    previous: OwnerRow,
  ): Promise<ShardLease | undefined> {
    const term = (previous.owner?.term ?? 0) + 1;
    const owner = { ...holder, term, commits: 0 };
    const startedAt = clock.now();
    const startedAtWall = clock.wall();
    const key = ownerRowKey(shard);
    const outcome = await store.commit({
      checks: [{ ...key, version: previous.version }],
      puts: [{ ...key, value: JSON.stringify(owner) }],
      removes: [],
    });
    if (outcome.err || outcome.val.kind !== "committed") return undefined;
    const { version } = outcome.val;
    return new ShardLease(
      store,
      clock,
      shard,
      owner,
      version,
      startedAt,
      startedAtWall,
    );
  }

  /** Fencing token of this term's orders. */
  get term(): number {
    return this.#owner.term;
  }

  /** Whether another owner's commit has been seen. */
  get isLost(): boolean {
    return this.#lost;
  }

  /**
   * Time since the start of the last successful commit, in ms, by whichever
   * of the steady and the wall clock says more: a suspended process sees only
   * the second one advance.
   */
  get ageMs(): number {
    const monotonic = this.clock.now() - this.#renewedAt;
    const wall = this.clock.wall() - this.#renewedAtWall;
    return Math.max(monotonic, wall);
  }

  /**
   * Commits changes of the shard and renews the lease. A lost answer is
   * resolved by the next call: its check fails and the row shows whether the
   * earlier commit was performed. One commit at a time.
   */
  async commit(
    puts: readonly RowPut[],
    removes: readonly RowKey[],
  ): Promise<Result<void, CommitFailure>> {
    return await this.#commitWithOwner(
      { ...this.#owner, commits: this.#owner.commits + 1 },
      puts,
      removes,
    );
  }

  /**
   * Gives the shard up so that another entry can take it at once. Tries again
   * while the store does not answer, as the shard stands still meanwhile.
   */
  async release(): Promise<void> {
    for (let attempt = 0; attempt < maxReleaseAttempts; attempt++) {
      const owner = { ...this.#owner, boot: "", entry: "" };
      const released = await this.#commitWithOwner(owner, [], []);
      if (released.ok || released.val.kind === "lost") break;
      await delay(this.clock, releaseRetryMs);
    }
    this.#lost = true;
  }

  async #commitWithOwner(
    owner: OwnerRecord,
    puts: readonly RowPut[],
    removes: readonly RowKey[],
  ): Promise<Result<void, CommitFailure>> {
    const key = ownerRowKey(this.shard);
    const startedAt = this.clock.now();
    const startedAtWall = this.clock.wall();
    const outcome = await this.store.commit({
      checks: [{ ...key, version: this.#version }],
      puts: [...puts, { ...key, value: JSON.stringify(owner) }],
      removes,
    });
    if (outcome.err) return outcome;
    if (outcome.val.kind === "committed") {
      this.#owner = owner;
      this.#version = outcome.val.version;
      this.#renewedAt = startedAt;
      this.#renewedAtWall = startedAtWall;
      return Ok(undefined);
    }
    return this.#resolveConflict(decodeOwner(outcome.val.rows[0]));
  }

  /** Tells a commit of our own that went unanswered from a lost shard. */
  #resolveConflict(found: OwnerRow): Result<void, CommitFailure> {
    const { owner, version } = found;
    const { term, boot, commits } = this.#owner;
    const isOwnTerm = owner?.term === term && owner.boot === boot;
    if (isOwnTerm && owner.commits === commits + 1) {
      this.#owner = owner;
      this.#version = version;
      // The caller writes its rows again: what it holds is newer.
      return Err({ kind: "refused", message: "an earlier commit was late" });
    }
    this.#lost = true;
    return Err({ kind: "lost", message: `held by ${owner?.entry ?? "none"}` });
  }
}
