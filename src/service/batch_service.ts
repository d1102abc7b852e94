/**
 * One entry's part in running batch jobs: follows the operator's table and
 * the registered endpoints, takes its share of the shards, and accepts jobs.
 *
 * All entries are equal. What must last or be agreed is in the store.
 */
import { ActorSystem } from "../actors/index.ts";
import { delay } from "../clock/index.ts";
import { Intake } from "../intake/index.ts";
import { mapHandler, StoreBreaker, TableWatch } from "../store/index.ts";
import {
  decodeVacate,
  fleetShard,
  type VacateState,
  vacateTable,
} from "../upkeep/index.ts";
import type { EntryDependencies } from "./entry_parts.ts";
import { ShardManager } from "./shard_keeper.ts";

/** How long a poll of the endpoints to empty waits, in ms. */
const vacatePollMs = 2_000;

/** Pause before an idle entry checks again whether it needs a table, in ms. */
const idleRecheckMs = 1_000;

/** Pause after a failed poll, in ms. */
const pollRetryDelayMs = 200;

/**
 * Time without an answer of the store after which callers go elsewhere, in
 * ms: above the answers of a store that is 96 times as slow.
 */
const storeUnansweredLimitMs = 1_500;

/** Time for which callers are still served after a shutdown began, in ms. */
const shutdownGraceMs = 2_600;

/** A table of the store that the entry follows. */
export interface FollowedTable {
  readonly name: string;
  readonly watch: TableWatch;
  /** How long a poll waits for a change, in ms. */
  readonly waitMs: number;
  /** Pause between two polls, in ms, so that frequent changes are batched. */
  readonly pauseMs: number;
  /** Whether only entries that may own shards need it. */
  readonly forOwners: boolean;
}

/** What the service works with. */
export interface BatchServiceDependencies extends EntryDependencies {
  readonly followed: readonly FollowedTable[];
}

/** Runs batch jobs. */
export class BatchService {
  readonly intake: Intake;
  readonly #actors: ActorSystem;
  readonly #breaker: StoreBreaker;
  readonly #shards: ShardManager;
  readonly #vacating = new Map<string, VacateState>();
  readonly #failingTables = new Set<string>();
  #storeAnsweredAt: number;
  #stopping = false;

  constructor(private readonly deps: BatchServiceDependencies) {
    const { clock } = deps;
    const store = new StoreBreaker(deps.store, clock, (change) => {
      const { isOpen, silentMs, message } = change;
      deps.log.decision(isOpen ? "store-lost" : "store-back", {
        silentMs,
        message,
      });
    });
    this.#breaker = store;
    this.intake = new Intake(store, clock, store);
    this.#storeAnsweredAt = clock.now();
    this.#actors = new ActorSystem(clock, deps.crashed);
    this.#shards = new ShardManager({
      ...deps,
      store,
      vacating: () => this.#vacating,
      refreshVacating: () => this.#refreshVacating(),
      isFollowing: () => deps.followed.every((f) => f.watch.isFollowing),
      onStoreAnswer: () => {
        this.#storeAnsweredAt = clock.now();
      },
    });
  }

  /** Whether callers should come here. */
  get isReady(): boolean {
    const { clock, catalog } = this.deps;
    return !this.#stopping && catalog.current !== undefined &&
      clock.now() - this.#storeAnsweredAt < storeUnansweredLimitMs;
  }

  /** Number of shards that this entry owns. */
  get ownedShards(): number {
    return this.#shards.size;
  }

  /** Starts the loops. */
  start(): void {
    for (const table of this.deps.followed) {
      this.#actors.loop(table.name, () => this.#follow(table));
    }
    const vacate = new TableWatch(
      this.deps.store,
      vacateTable,
      [fleetShard],
      mapHandler(this.#vacating, ({ value }) => decodeVacate(value)),
    );
    this.#actors.loop(
      "vacate",
      () =>
        this.#follow({
          name: "vacate",
          watch: vacate,
          waitMs: vacatePollMs,
          pauseMs: 100,
          forOwners: true,
        }),
    );
    this.#actors.loop("members", () => this.#shards.refresh());
  }

  /** Hands the shards over; callers are served until they have left. */
  async shutdown(): Promise<void> {
    this.#stopping = true;
    await Promise.all([
      this.#shards.release(),
      delay(this.deps.clock, shutdownGraceMs),
    ]);
    this.#actors.stop();
  }

  /** Adds what the table holds now, in case the feed is behind. */
  async #refreshVacating(): Promise<boolean> {
    const read = await this.deps.store.range({
      table: vacateTable,
      partition: fleetShard,
    });
    if (read.err) return false;
    for (const { key, value } of read.val.rows) {
      this.#vacating.set(key, decodeVacate(value));
    }
    return true;
  }

  async #follow(table: FollowedTable): Promise<number> {
    if (table.forOwners && !this.#shards.isActive) {
      table.watch.leave();
      return idleRecheckMs;
    }
    const polled = this.#breaker.record(await table.watch.poll(table.waitMs));
    const { clock, log } = this.deps;
    if (polled.ok) {
      this.#storeAnsweredAt = clock.now();
      if (this.#failingTables.delete(table.name)) {
        log.decision("table-back", { table: table.name });
      }
      return table.pauseMs;
    }
    const { kind, message } = polled.val;
    if (kind !== "expired" && !this.#failingTables.has(table.name)) {
      this.#failingTables.add(table.name);
      log.decision("table-lost", { table: table.name, kind, message });
    }
    return kind === "expired" ? 0 : pollRetryDelayMs;
  }
}
