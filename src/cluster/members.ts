/**
 * Who is alive: a pure view over the members' rows.
 *
 * A member is live while the version of its row changes within the lease
 * time, measured on the reader's own steady clock; wall clocks of different
 * hosts are never compared.
 */
import * as v from "valibot";
import { parseJson, type Row } from "../store/index.ts";

/**
 * Time without a heartbeat after which a member counts as dead while the
 * store answers at once, in ms: three heartbeats.
 */
export const memberLeaseMs = 1_350;

/** Delays of the store by which that time grows: a write and a read. */
const storeDelaysPerLease = 3;

/**
 * Time between two reads, in ms, after which silence of the members proves
 * nothing, because the reader itself was paused or cut off.
 */
const maxReadGapMs = 1_000;

/** Least processor of a member, in cores, so that shares stay finite. */
const minCores = 0.001;

export const memberSchema = v.object({
  entry: v.string(),
  /** Identifies one process start. */
  boot: v.string(),
  zone: v.string(),
  /** Shards that the process holds. */
  shards: v.array(v.string()),
  /** Whether it takes further shards. */
  accepting: v.boolean(),
  /** Processor that it may use, in cores; rows of older releases lack it. */
  cores: v.optional(v.pipe(v.number(), v.minValue(minCores)), 1),
});

/** One process as it describes itself. */
export type ClusterMember = v.InferOutput<typeof memberSchema>;

interface MemberObservation {
  readonly member: ClusterMember;
  readonly version: number;
  readonly changedAt: number;
}

/** Members seen so far; `observe` returns the next view. */
export class MemberView {
  static readonly empty = new MemberView(new Map(), 0);

  private constructor(
    private readonly observations: ReadonlyMap<string, MemberObservation>,
    private readonly readAt: number,
  ) {}

  /**
   * The view after a read of all members' rows at the steady time `now`, by a
   * reader that reads them each `periodMs`.
   */
  observe(rows: readonly Row[], now: number, readIntervalMs = 0): MemberView {
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
   * Members whose heartbeat is recent. A slow store delays every heartbeat,
   * so the reader's own delay (`delayMs`) makes it wait longer, and so does
   * the time between its reads (`betweenMs`).
   */
  live(now: number, delayMs = 0, readIntervalMs = 0): readonly ClusterMember[] {
    const leaseMs = memberLeaseMs + storeDelaysPerLease * delayMs +
      readIntervalMs;
    return [...this.observations.values()]
      .filter((o) => now - o.changedAt < leaseMs)
      .map((o) => o.member);
  }

  /** Entries whose row has stood still for `ms`. */
  unchangedFor(ms: number, now: number): readonly string[] {
    return [...this.observations.values()]
      .filter((o) => now - o.changedAt > ms)
      .map((o) => o.member.entry);
  }
}
