/**
 * Failure detection: an immutable view of the members' heartbeat rows.
 *
 * A member is live while the version of its row keeps changing within the lease
 * time, measured on the reader's monotonic clock. Wall clocks of different
 * hosts are never compared.
 */
import * as v from "valibot";
import { parseJson, type StoreRow } from "../store/index.ts";

/**
 * Time without a heartbeat after which a member is considered dead, in ms, if
 * the store adds no delay: three heartbeat intervals.
 */
export const memberLeaseMs = 1_350;

/**
 * Age of an owner's last commit, in ms, below which the owner counts as alive even
 * without heartbeats: the partition that holds them may be unavailable. It is at
 * most the member's lease less one heartbeat interval, so that an owner that has
 * ended is not succeeded later.
 */
export const livenessCommitAgeMs = 900;

/**
 * Interval of the commits of an owner whose heartbeats fail, in ms. It keeps the
 * age of its last commit below {@link livenessCommitAgeMs}.
 */
export const livenessCommitIntervalMs = 450;

/**
 * Delay of a member's own heartbeats that its lease covers, in ms: the interval
 * between two.
 */
const coveredDelayMs = 450;

/** Most by which a member's own delay extends its lease, in ms. */
const maxOwnExtensionMs = 2_700;

/** Multiple of the store's delay added to the lease, for a write and a read. */
const storeDelaysPerLease = 3;

/**
 * Longest time between two reads, in ms, across which an unchanged row counts
 * as silence. After a longer gap the reader itself was paused or disconnected,
 * so unchanged rows prove nothing.
 */
const maxReadGapMs = 1_000;

/** Minimum cores of a member; keeps shards per core finite. */
const minCores = 0.001;

/** Schema of a member's heartbeat row. */
export const memberSchema = v.object({
  /** Name of the entry. */
  entry: v.string(),
  /** Identifies one process start. */
  boot: v.string(),
  /** Availability zone. */
  zone: v.string(),
  /** Shards that the process owns. */
  shards: v.array(v.string()),
  /** Whether it accepts further shards. */
  accepting: v.boolean(),
  /**
   * Time that its last heartbeat took, in ms, if that is more than usual: its link
   * or its processor is busy, so that further ones are late as well.
   */
  delayMs: v.optional(v.pipe(v.number(), v.minValue(0))),
  /** CPU that it may use, in cores; rows of older releases lack it. */
  cores: v.optional(v.pipe(v.number(), v.minValue(minCores)), 1),
});

/** An entry's process as described by its heartbeat row. */
export type ClusterMember = v.InferOutput<typeof memberSchema>;

/** A member's row and when its version was last seen to change. */
interface MemberObservation {
  readonly member: ClusterMember;
  readonly version: number;
  /** Time on the reader's monotonic clock, in ms. */
  readonly changedAt: number;
}

/** Time by which a member's own delay extends its lease, in ms. */
function extensionMs({ delayMs = 0 }: ClusterMember): number {
  const uncoveredMs = Math.max(0, delayMs - coveredDelayMs);
  return Math.min(maxOwnExtensionMs, storeDelaysPerLease * uncoveredMs);
}

/** Immutable view of the members; `observe` returns an updated view. */
export class MemberView {
  /** View before the first read. */
  static readonly empty = new MemberView(new Map(), 0);

  private constructor(
    private readonly observations: ReadonlyMap<string, MemberObservation>,
    private readonly readAt: number,
  ) {}

  /**
   * Returns the view after reading all members' rows at the monotonic time
   * `now`. The reader normally reads them every `readIntervalMs`.
   */
  observe(
    rows: readonly StoreRow[],
    now: number,
    readIntervalMs = 0,
  ): MemberView {
    const hadReadGap = now - this.readAt > maxReadGapMs + readIntervalMs;
    const observations = new Map<string, MemberObservation>();
    for (const row of rows) {
      const member = parseJson(memberSchema, row.value);
      if (member === undefined) continue;
      const previous = this.observations.get(row.key);
      const isUnchanged = previous?.version === row.version && !hadReadGap;
      const changedAt = isUnchanged ? previous.changedAt : now;
      observations.set(row.key, { member, version: row.version, changedAt });
    }
    return new MemberView(observations, now);
  }

  /**
   * Members whose heartbeat is recent. A slow store delays every heartbeat, so
   * the lease is extended in proportion to the delay that the reader sees
   * itself (`delayMs`), and by the time between its reads (`readIntervalMs`). A
   * busy link or processor delays those of one member, which says so in its row.
   */
  live(now: number, delayMs = 0, readIntervalMs = 0): readonly ClusterMember[] {
    const leaseMs = memberLeaseMs + readIntervalMs;
    const readerExtensionMs = storeDelaysPerLease * delayMs;
    return [...this.observations.values()]
      .filter(({ member, changedAt }) =>
        now - changedAt <
          leaseMs + Math.max(readerExtensionMs, extensionMs(member))
      )
      .map((o) => o.member);
  }

  /** Entries whose row has not changed for more than `ms`. */
  unchangedFor(ms: number, now: number): readonly string[] {
    return [...this.observations.values()]
      .filter((o) => now - o.changedAt > ms)
      .map((o) => o.member.entry);
  }
}
