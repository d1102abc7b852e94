/**
 * The controller's lease: one row in the platform's table service.
 *
 * Entries compare no wall clocks. For an observer the lease expires when its
 * row has not changed for the lease time on the observer's monotonic clock. The
 * term row is written only when an entry acquires the lease. Every transaction
 * of the holder checks it, so a holder that was paused for longer than its
 * lease, and was replaced meanwhile, cannot commit.
 */
import * as v from "valibot";
import type { Clock, IdSource } from "../clock/index.ts";
import {
  decodeRow,
  type PlatformRowCheck,
  type TableService,
} from "../platform/index.ts";

/** Key of the lease row, which each renewal changes. */
const leaseKey = "lease/controller";
/** Key of the term row, which changes only with the holder's term. */
const termKey = "lease/term";

const leaseSchema = v.object({
  holder: v.string(),
  incarnation: v.string(),
  renewals: v.number(),
});

/** Identity of a candidate for the lease, and its times. */
export interface LeaseOptions {
  /** Name of this entry. */
  readonly holder: string;
  readonly incarnation: string;
  /** Time in ms without a renewal after which the lease expires. */
  readonly leaseMs: number;
  /** Interval in ms between two renewals. */
  readonly renewMs: number;
}

/** Acquires, renews, and releases the lease for one entry. */
export class Lease {
  #term: PlatformRowCheck | undefined;
  /** Version of the lease row when it was last read. */
  #observedVersion = -1;
  /** Monotonic time in ms at which that version was first read. */
  #observedAt = 0;
  /** Monotonic time in ms at which the last successful commit began. */
  #renewedAt = 0;

  constructor(
    private readonly service: TableService,
    private readonly options: LeaseOptions,
    private readonly ids: IdSource,
    private readonly clock: Clock,
  ) {}

  /**
   * The check that the holder adds to each transaction; undefined while this
   * entry does not hold the lease.
   */
  get term(): PlatformRowCheck | undefined {
    return this.#term;
  }

  /**
   * Acquires the lease if it is free or has expired, or renews it when it is
   * due. Returns whether this entry holds the lease.
   */
  async acquireOrRenew(): Promise<boolean> {
    const now = this.clock.now();
    if (this.#term !== undefined) {
      if (now - this.#renewedAt > this.options.leaseMs) this.#term = undefined;
      else if (now - this.#renewedAt < this.options.renewMs) return true;
    }
    const rows = await this.service.read({ keys: [leaseKey, termKey] });
    if (rows.err) return this.#term !== undefined;
    const row = rows.val.find((r) => r.key === leaseKey);
    const version = row?.version ?? 0;
    const lease = row === undefined ? undefined : decodeRow(leaseSchema, row);
    const value = lease?.ok ? lease.val.value : undefined;
    if (value !== undefined && this.#isOwn(value)) {
      return await this.#renew(version, value.renewals);
    }
    this.#term = undefined;
    if (version !== this.#observedVersion) {
      this.#observedVersion = version;
      this.#observedAt = now;
    }
    const expired = now - this.#observedAt >= this.options.leaseMs;
    if (row !== undefined && !expired) return false;
    const term = rows.val.find((r) => r.key === termKey)?.version ?? 0;
    return await this.#acquire(version, term);
  }

  /** Deletes the lease row, so another entry can acquire the lease at once. */
  async release(): Promise<void> {
    if (this.#term === undefined) return;
    const check = this.#term;
    this.#term = undefined;
    const rows = await this.service.read({ keys: [leaseKey] });
    if (rows.err || rows.val.length === 0) return;
    await this.service.commit({
      operation: this.ids.next(),
      checks: [check, { key: leaseKey, version: rows.val[0].version }],
      writes: [{ key: leaseKey, value: null }],
    });
  }

  #isOwn(value: v.InferOutput<typeof leaseSchema>): boolean {
    return value.holder === this.options.holder &&
      value.incarnation === this.options.incarnation;
  }

  /**
   * Commits a renewal. A failure of the platform leaves the lease held until
   * its time passes; a conflict ends it.
   */
  async #renew(version: number, renewals: number): Promise<boolean> {
    if (this.#term === undefined) return await this.#startNewTerm(version);
    const startedAt = this.clock.now();
    const outcome = await this.service.commit({
      operation: this.ids.next(),
      checks: [{ key: leaseKey, version }, this.#term],
      writes: [{ key: leaseKey, value: this.#leaseRow(renewals + 1) }],
    });
    if (outcome.err) return true;
    if (outcome.val.kind !== "committed") this.#term = undefined;
    else this.#renewedAt = startedAt;
    return this.#term !== undefined;
  }

  /**
   * Starts a new term when this entry's lease time has passed but no other
   * entry has taken the lease.
   */
  async #startNewTerm(version: number): Promise<boolean> {
    const rows = await this.service.read({ keys: [termKey] });
    if (rows.err) return false;
    return await this.#acquire(version, rows.val[0]?.version ?? 0);
  }

  async #acquire(version: number, term: number): Promise<boolean> {
    const startedAt = this.clock.now();
    const outcome = await this.service.commit({
      operation: this.ids.next(),
      checks: [
        { key: leaseKey, version },
        { key: termKey, version: term },
      ],
      writes: [
        { key: leaseKey, value: this.#leaseRow(0) },
        { key: termKey, value: { holder: this.options.holder } },
      ],
    });
    if (outcome.err || outcome.val.kind !== "committed") return false;
    this.#term = { key: termKey, version: outcome.val.version };
    this.#renewedAt = startedAt;
    return true;
  }

  #leaseRow(renewals: number): v.InferOutput<typeof leaseSchema> {
    const { holder, incarnation } = this.options;
    return { holder, incarnation, renewals };
  }
}
