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
const leaseDelays = 3;

/**
 * Time between two reads, in ms, after which silence of the members proves
 * nothing, because the reader itself was paused or cut off.
 */
const readGapMs = 1_000;

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
export type Member = v.InferOutput<typeof memberSchema>;

interface Sighting {
  readonly member: Member;
  readonly version: number;
  readonly changedAt: number;
}

/** Members seen so far; `observe` returns the next view. */
export class MemberView {
  static readonly empty = new MemberView(new Map(), 0);

  private constructor(
    private readonly sightings: ReadonlyMap<string, Sighting>,
    private readonly readAt: number,
  ) {}

  /**
   * The view after a read of all members' rows at the steady time `now`, by a
   * reader that reads them each `periodMs`.
   */
  observe(rows: readonly Row[], now: number, periodMs = 0): MemberView {
    const resumed = now - this.readAt > readGapMs + periodMs;
    const next = new Map<string, Sighting>();
    for (const row of rows) {
      const member = parseJson(memberSchema, row.value);
      if (member === undefined) continue;
      const before = this.sightings.get(row.key);
      const same = before?.version === row.version && !resumed;
      const changedAt = same ? before.changedAt : now;
      next.set(row.key, { member, version: row.version, changedAt });
    }
    return new MemberView(next, now);
  }

  /**
   * Members whose heartbeat is recent. A slow store delays every heartbeat,
   * so the reader's own delay (`delayMs`) makes it wait longer, and so does
   * the time between its reads (`betweenMs`).
   */
  live(now: number, delayMs = 0, betweenMs = 0): readonly Member[] {
    const leaseMs = memberLeaseMs + leaseDelays * delayMs + betweenMs;
    return [...this.sightings.values()]
      .filter((s) => now - s.changedAt < leaseMs)
      .map((s) => s.member);
  }

  /** Entries whose row has stood still for `ms`. */
  silentFor(ms: number, now: number): readonly string[] {
    return [...this.sightings.values()]
      .filter((s) => now - s.changedAt > ms)
      .map((s) => s.member.entry);
  }
}
