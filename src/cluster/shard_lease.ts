/**
 * Lease on one shard: a single owner row that names the holder and counts terms
 * and commits.
 *
 * Every transaction of the owner checks that the row still has the version of
 * its last commit, and writes the row again. A transaction of a previous owner,
 * or a delayed earlier one of the same owner, therefore fails its check. The
 * term is the fencing token of all orders to endpoints.
 */
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import { type Clock, delay } from "../clock/index.ts";
import {
  parseJson,
  type RowPut,
  type Store,
  type StoreFailure,
  type StoreRow,
  type StoreRowKey,
} from "../store/index.ts";

/** Table of the owner rows; the partition is the shard. */
export const ownerTable = "owner";
/** Key of the owner row within its partition. */
const ownerRowName = "owner";

/** Transaction entries that a lease adds to each commit: a check and a put. */
export const leaseTransactionEntries = 2;

/** Attempts to release a shard before the lease is left to expire. */
const maxReleaseAttempts = 8;

/** Pause between two attempts to release a shard, in ms. */
const releaseRetryMs = 150;

/**
 * Time for which the leases that a silent owner has granted are taken into
 * account at a change of owner, in ms after the first takeover from it. They
 * have all expired by then.
 */
export const silentOwnerEffectMs = 10_000;

const previousOwnerStates = ["ended", "silent"] as const;

/**
 * State of the previous owners at a takeover. `ended`: the last one released the
 * shard, or its process has ended, and so had those whose leases may still last.
 * `silent`: one of them stopped renewing, but may still run without access to
 * the store.
 */
export type PreviousOwnerState = typeof previousOwnerStates[number];

/** What is known about the previous owners at a takeover. */
export type PreviousOwner =
  | { readonly state: "ended" }
  | {
    readonly state: "silent";
    /**
     * Monotonic time, in ms, by which the last commit of each of them had taken
     * effect. Their leases and their orders about hosts are bounded from there.
     */
    readonly committedBy: number;
  };

const ownerSchema = v.object({
  /** Process start of the holder; empty after a release. */
  boot: v.string(),
  /** Entry of the holder; empty after a release. */
  entry: v.string(),
  /** Fencing token; rises with each change of owner. */
  term: v.number(),
  /** Number of commits in this term. */
  commits: v.number(),
  /** What is known about the owners before, whose leases may still last. */
  previous: v.optional(v.picklist(previousOwnerStates), "ended"),
});

/** Decoded value of an owner row. */
export type OwnerRecord = v.InferOutput<typeof ownerSchema>;

/**
 * Why a commit failed. `lost`: another owner holds the shard, and the lease can
 * commit nothing more.
 */
export type CommitFailure = StoreFailure | {
  readonly kind: "lost";
  readonly message: string;
};

/** Identifies one process start of an entry. */
export interface ProcessIdentity {
  readonly entry: string;
  readonly boot: string;
}

/** An owner row as read; the version is 0 if the row does not exist. */
export interface OwnerRow {
  readonly owner: OwnerRecord | undefined;
  readonly version: number;
}

/** Decodes an owner row; the owner is undefined if it is missing or invalid. */
function decodeOwner(row: StoreRow | undefined): OwnerRow {
  const owner = row && parseJson(ownerSchema, row.value);
  return { owner, version: row?.version ?? 0 };
}

function ownerRowKey(shard: string): StoreRowKey {
  return { table: ownerTable, partition: shard, key: ownerRowName };
}

/** Reads a shard's owner row. */
export async function readOwner(
  store: Store,
  shard: string,
): Promise<Result<OwnerRow, StoreFailure>> {
  const { table, partition, key } = ownerRowKey(shard);
  const query = { table, partition, from: key, to: `${key}\0` };
  const rows = await store.range(query);
  return rows.map((found) =>
    decodeOwner(found.rows.find((r) => r.key === ownerRowName))
  );
}

/** A lease on a shard that this process has acquired. */
export class ShardLease {
  #version: number;
  #owner: OwnerRecord;
  /** Monotonic time at which the acquisition began, in ms. */
  readonly #acquiredAt: number;
  /** Monotonic time at which the last successful commit began, in ms. */
  #renewedAt: number;
  /** Wall-clock time of the same moment, in ms. */
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
    this.#acquiredAt = startedAt;
    this.#renewedAt = startedAt;
    this.#renewedAtWall = startedAtWall;
  }

  /**
   * Acquires the shard by starting the term after that of the owner row
   * `found`. Returns undefined if the row has changed since or the commit is
   * not confirmed.
   */
  static async acquire(
    store: Store,
    clock: Clock,
    shard: string,
    holder: ProcessIdentity,
    found: OwnerRow,
    previous: PreviousOwnerState,
  ): Promise<ShardLease | undefined> {
    const term = (found.owner?.term ?? 0) + 1;
    const owner = { ...holder, term, commits: 0, previous };
    const startedAt = clock.now();
    const startedAtWall = clock.wall();
    const key = ownerRowKey(shard);
    const outcome = await store.commit({
      checks: [{ ...key, version: found.version }],
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

  /** Whether the shard was released or another owner's commit was seen. */
  get isLost(): boolean {
    return this.#lost;
  }

  /**
   * Time since the start of the last successful commit, in ms. It is the larger
   * of the times by the monotonic and the wall clock, because only the wall
   * clock advances while a process is suspended.
   */
  get ageMs(): number {
    const monotonic = this.clock.now() - this.#renewedAt;
    const wall = this.clock.wall() - this.#renewedAtWall;
    return Math.max(monotonic, wall);
  }

  /**
   * Commits changes to the shard's rows and renews the lease. If the answer to
   * a commit is lost, the next call resolves it: its check fails, and the row
   * shows whether the earlier commit took effect. Calls must not overlap.
   */
  async commit(
    puts: readonly RowPut[],
    removes: readonly StoreRowKey[],
  ): Promise<Result<void, CommitFailure>> {
    return await this.#commitWithOwner(
      this.#nextOwner({ commits: this.#owner.commits + 1 }),
      puts,
      removes,
    );
  }

  /**
   * Releases the shard so that another entry can acquire it at once. Retries
   * while the store does not answer, because nobody serves the shard until the
   * release succeeds or the lease expires.
   */
  async release(): Promise<void> {
    for (let attempt = 0; attempt < maxReleaseAttempts; attempt++) {
      const owner = this.#nextOwner({ boot: "", entry: "" });
      const released = await this.#commitWithOwner(owner, [], []);
      if (released.ok || released.val.kind === "lost") break;
      await delay(this.clock, releaseRetryMs);
    }
    this.#lost = true;
  }

  /** Next value of the owner row, with the given changes. */
  #nextOwner(changes: Partial<OwnerRecord>): OwnerRecord {
    const heldMs = this.clock.now() - this.#acquiredAt;
    const previous = heldMs > silentOwnerEffectMs
      ? "ended"
      : this.#owner.previous;
    return { ...this.#owner, previous, ...changes };
  }

  /** Commits the changes together with a new value of the owner row. */
  async #commitWithOwner(
    owner: OwnerRecord,
    puts: readonly RowPut[],
    removes: readonly StoreRowKey[],
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

  /**
   * Handles a failed check: either an own commit whose answer was lost, which
   * the lease adopts, or a commit of another owner, which ends the lease.
   */
  #resolveConflict(found: OwnerRow): Result<void, CommitFailure> {
    const { owner, version } = found;
    const { term, boot, commits } = this.#owner;
    const isOwnTerm = owner?.term === term && owner.boot === boot;
    if (isOwnTerm && owner.commits === commits + 1) {
      this.#owner = owner;
      this.#version = version;
      // The caller commits its rows again, because its state is newer.
      return Err({ kind: "refused", message: "an earlier commit took effect" });
    }
    this.#lost = true;
    return Err({
      kind: "lost",
      message: `held by ${owner?.entry ?? "nobody"}`,
    });
  }
}
