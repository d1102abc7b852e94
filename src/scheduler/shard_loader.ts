/**
 * Reads the stored state of a shard that has been acquired. A read that fails is
 * repeated while the lease is held, because a shard that is dropped would have to
 * be read again from the beginning by whoever acquires it next.
 */
import {
  inboxTable,
  learnedRange,
  progressRange,
  runTimesKey,
  singleKeyRange,
  unconfirmedDiscardsKey,
} from "../batch/index.ts";
import { poolDemandKey } from "../capacity/index.ts";
import { delay } from "../clock/index.ts";
import type {
  RangeQuery,
  StoreRow,
  StoreRowKey,
  TableWatch,
} from "../store/index.ts";
import type { ShardDependencies } from "./shard_dependencies.ts";

/** Pause after a failed read, in ms. */
const retryPauseMs = 100;

/** Time after which loading is given up, so that another entry can try, in ms. */
const maxLoadMs = 15_000;

/** Interval at which the lease is checked while the state is read, in ms. */
const leaseCheckMs = 250;

/** Stored state of a shard besides its inbox. */
export interface StoredShard {
  readonly progress: readonly StoreRow[];
  /** Value of the pool's demand row; empty if there is none. */
  readonly demand: string;
  /** Value of the run time statistics; empty if there are none. */
  readonly runTimes: string;
  /** Value of the unconfirmed discards; empty if there are none. */
  readonly unconfirmedDiscards: string;
}

/** Dependencies of a {@link ShardLoader}. */
export interface ShardLoaderDependencies extends
  Pick<
    ShardDependencies,
    "shard" | "store" | "clock" | "log" | "lease" | "refreshVacating"
  > {
  /** Whether the owner has stopped. */
  readonly isStopped: () => boolean;
  /** Renews the lease if that is due. */
  readonly renewLease: () => void;
}

/** A read that may fail; the error is a message. */
type Read<T> = () => Promise<
  { readonly value: T } | { readonly error: string }
>;

/** The value of the row with a key among rows; empty if there is none. */
function valueOf(rows: readonly StoreRow[], { key }: StoreRowKey): string {
  return rows.find((row) => row.key === key)?.value ?? "";
}

/** Loads the stored state of one shard. */
export class ShardLoader {
  #isLoading = false;
  readonly #startedAt: number;
  /** Time after which everything but the inbox had been read, in ms. */
  #progressMs = 0;

  constructor(private readonly deps: ShardLoaderDependencies) {
    this.#startedAt = deps.clock.now();
  }

  /** Logs how long the reads took, and how many jobs they have brought. */
  logLoaded(
    counts: { readonly jobs: number; readonly openJobs: number },
  ): void {
    const { log, shard, lease } = this.deps;
    log.decision("shard-loaded", {
      shard,
      term: lease.term,
      progressMs: this.#progressMs,
      loadingMs: this.#loadingMs,
      ...counts,
      leaseAgeMs: Math.round(lease.ageMs),
    });
  }

  /** Time since loading began, in whole ms. */
  get #loadingMs(): number {
    return Math.round(this.deps.clock.now() - this.#startedAt);
  }

  /** Reads the state; undefined if the owner stopped or time has run out. */
  async load(): Promise<StoredShard | undefined> {
    const { shard, refreshVacating } = this.deps;
    return await this.#whileRenewing(async () => {
      const [progress, demand, learned, vacating] = await Promise.all([
        this.#readRows(progressRange(shard)),
        this.#readRows(singleKeyRange(poolDemandKey(shard))),
        this.#readRows(learnedRange(shard)),
        this.#untilRead(
          "vacating",
          async () =>
            await refreshVacating() ? { value: true } : { error: "no answer" },
        ),
      ]);
      if (!progress || !demand || !learned || !vacating) return undefined;
      this.#progressMs = this.#loadingMs;
      return {
        progress,
        demand: demand[0]?.value ?? "",
        runTimes: valueOf(learned, runTimesKey(shard)),
        unconfirmedDiscards: valueOf(learned, unconfirmedDiscardsKey(shard)),
      };
    });
  }

  /** Reads the whole inbox; false if the owner stopped or time has run out. */
  async loadInbox(inbox: TableWatch): Promise<boolean> {
    const read = await this.#whileRenewing(() =>
      this.#untilRead(inboxTable(this.deps.shard), async () => {
        const polled = await inbox.poll(0);
        return polled.ok ? { value: true } : { error: polled.val.message };
      })
    );
    return read === true;
  }

  #readRows(query: RangeQuery): Promise<readonly StoreRow[] | undefined> {
    return this.#untilRead(query.table, async () => {
      const read = await this.deps.store.range(query);
      return read.ok ? { value: read.val.rows } : { error: read.val.message };
    });
  }

  /** Repeats a read until it succeeds; undefined if that is given up. */
  async #untilRead<T>(table: string, read: Read<T>): Promise<T | undefined> {
    const { clock, log, shard, lease } = this.deps;
    for (;;) {
      const outcome = await read();
      if (this.deps.isStopped()) return undefined;
      if ("value" in outcome) return outcome.value;
      const loadingMs = this.#loadingMs;
      const { term } = lease;
      const message = outcome.error;
      const fields = { shard, term, table, message, loadingMs };
      log.decision("shard-read-failed", fields);
      if (loadingMs > maxLoadMs) return undefined;
      await delay(clock, retryPauseMs);
    }
  }

  /** Runs `load`, and renews the lease meanwhile. */
  async #whileRenewing<T>(load: () => Promise<T>): Promise<T> {
    this.#isLoading = true;
    this.#checkLease();
    try {
      return await load();
    } finally {
      this.#isLoading = false;
    }
  }

  async #checkLease(): Promise<void> {
    while (this.#isLoading && !this.deps.isStopped()) {
      this.deps.renewLease();
      await delay(this.deps.clock, leaseCheckMs);
    }
  }
}
