/**
 * The outlooks of the pools as an entry knows them. It follows their table by
 * a poll that waits long, so that a calm fleet pays almost nothing.
 *
 * The age of an outlook is counted from the moment at which the entry has heard
 * of it, because clocks of hosts differ. What was in the table before the entry
 * followed it may be of any age and is not read. So an outlook is believed for
 * {@link maxOutlookAgeMs} at most, whatever becomes of the pool's owner, the
 * store, or this entry.
 */
import { Err, Ok, type Result } from "ts-results";
import type { JobSpec } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import { shardOfPool } from "../cluster/index.ts";
import {
  msUntilRoomFor,
  type Outlook,
  outlookSchema,
  outlookTable,
} from "../queueing/index.ts";
import { parseJson, type Store, type StoreFailure } from "../store/index.ts";

/** Longest wait of a poll of the outlooks, in ms. */
const pollWaitMs = 10_000;

/** Pause between two polls, in ms, so that the changes of all pools are batched. */
export const outlookPollPauseMs = 250;

/** Age from which an outlook is not believed any more, in ms. */
const maxOutlookAgeMs = 3_000;

/** An outlook, and when this entry heard of it. */
interface KnownOutlook {
  readonly outlook: Outlook;
  /** Monotonic time in ms at which the poll that brought it was sent or woke. */
  readonly heardAt: number;
}

/** Tells for which new jobs there is no room. */
export class OutlookBoard {
  readonly #byShard = new Map<string, KnownOutlook>();
  /** Version from which the table is followed; undefined before the first poll. */
  #version: number | undefined;

  constructor(
    private readonly store: Pick<Store, "feed" | "range">,
    private readonly clock: Clock,
  ) {}

  /** Waits for changes of the outlooks and takes them in. */
  async poll(): Promise<Result<void, StoreFailure>> {
    if (this.#version === undefined) return await this.#startFollowing();
    const feed = await this.store.feed(outlookTable, this.#version, pollWaitMs);
    if (feed.err) {
      if (feed.val.kind === "expired") this.#version = undefined;
      return Err(feed.val);
    }
    this.#version = feed.val.version;
    const heardAt = this.clock.now();
    for (const { kind, row } of feed.val.changes) {
      const value = kind === "put" ? row.value : "";
      const outlook = parseJson(outlookSchema, value);
      if (outlook === undefined) this.#byShard.delete(row.key);
      else this.#byShard.set(row.key, { outlook, heardAt });
    }
    return Ok(undefined);
  }

  /**
   * Returns the time in ms after which a pool will have room for a new job; 0
   * if it has room, or nothing recent is known.
   */
  msUntilRoom(pool: string, spec: JobSpec): number {
    const known = this.#byShard.get(shardOfPool(pool));
    if (known === undefined) return 0;
    const ageMs = this.clock.now() - known.heardAt;
    if (ageMs > maxOutlookAgeMs) return 0;
    return Math.max(0, msUntilRoomFor(spec, known.outlook) - ageMs);
  }

  /** Learns the store's version, without reading what is in the table. */
  async #startFollowing(): Promise<Result<void, StoreFailure>> {
    this.#byShard.clear();
    const none = { table: outlookTable, partition: "" };
    const read = await this.store.range(none);
    if (read.err) return read;
    this.#version = read.val.version;
    return Ok(undefined);
  }
}
