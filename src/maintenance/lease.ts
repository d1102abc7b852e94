/**
 * The controller's lease: one row in the platform's table service.
 *
 * Nobody compares wall clocks: a lease lapses for an observer when its row
 * has not changed for the lease time on the observer's own clock. A term row,
 * written only by a takeover, is checked by every transaction of the holder,
 * so one that was paused beyond its lease can commit nothing.
 */
import * as v from "valibot";
import type { Clock, IdSource } from "../clock/index.ts";
import { type Check, decodeRow, type TableService } from "../platform/index.ts";

const leaseKey = "lease/controller";
const termKey = "lease/term";

const leaseSchema = v.object({
  holder: v.string(),
  incarnation: v.string(),
  renewals: v.number(),
});

/** Options of a lease. */
export interface LeaseOptions {
  readonly holder: string;
  readonly incarnation: string;
  readonly leaseMs: number;
  readonly renewMs: number;
}

/** Competes for the lease and renews it. */
export class Lease {
  #term: Check | undefined;
  #observedVersion = -1;
  #observedAt = 0;
  #renewedAt = 0;

  constructor(
    private readonly service: TableService,
    private readonly options: LeaseOptions,
    private readonly ids: IdSource,
    private readonly clock: Clock,
  ) {}

  /** The check that every transaction of the holder carries. */
  get term(): Check | undefined {
    return this.#term;
  }

  /** Acquires or renews; true while this entry holds the lease. */
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

  /** Gives the lease up, for shutdown. */
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

  /** Begins a new term on a lease whose own row survived a lapse. */
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
