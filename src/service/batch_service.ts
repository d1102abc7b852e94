/**
 * The batch service of one entry: follows the operator's table and the
 * endpoint registrations, owns its share of the shards, and accepts jobs.
 *
 * All entries have the same role. State that must be durable or agreed on is
 * kept in the store.
 */
import { ActorSystem } from "../actors/index.ts";
import { delay } from "../clock/index.ts";
import {
  Intake,
  OutlookAdmission,
  OutlookBoard,
  outlookPollPauseMs,
} from "../intake/index.ts";
import { StoreBreaker, type TableWatch } from "../store/index.ts";
import type { EntryDependencies } from "./entry_dependencies.ts";
import { ShardManager } from "./shard_manager.ts";
import { VacatingEndpoints } from "./vacating_endpoints.ts";

/** Long-poll timeout for the table of endpoints to vacate, in ms. */
const vacatePollMs = 2_000;

/** Interval at which an inactive entry checks if it needs a table, in ms. */
const inactiveRecheckMs = 1_000;

/** Delay before a failed poll is retried, in ms. */
const pollRetryDelayMs = 200;

/**
 * Time without an answer of the store after which the entry reports not ready,
 * so that callers use another entry, in ms. A store that is 96 times slower
 * than usual still answers within it.
 */
const storeUnansweredLimitMs = 1_500;

/** Time for which callers are still served after shutdown begins, in ms. */
const shutdownGraceMs = 2_600;

/** A table of the store that the entry follows through its change feed. */
export interface FollowedTable {
  /** Name in log lines and of the polling loop. */
  readonly name: string;
  readonly watch: TableWatch;
  /** Long-poll timeout, in ms. */
  readonly waitMs: number;
  /** Pause between two polls, in ms, so that frequent changes are batched. */
  readonly pauseMs: number;
  /** Whether only active entries, which may own shards, need the table. */
  readonly onlyWhileActive: boolean;
  /**
   * Called with the monotonic time, in ms, at which the content that has been
   * delivered was the newest one.
   */
  readonly onConfirmed?: (at: number) => void;
}

/**
 * Returns the time at which a poll has certainly read the table, in ms. One that
 * was answered early has read it when it was sent; one that has waited for a
 * change until its timeout has read it then.
 */
function confirmedAt(sentAt: number, now: number, waitMs: number): number {
  return now - sentAt < waitMs ? sentAt : sentAt + waitMs;
}

/** Dependencies of the batch service. */
export interface BatchServiceDependencies extends EntryDependencies {
  readonly followed: readonly FollowedTable[];
}

/** Runs batch jobs on this entry. */
export class BatchService {
  /** Accepts and cancels jobs on behalf of callers. */
  readonly intake: Intake;
  readonly #actors: ActorSystem;
  readonly #breaker: StoreBreaker;
  readonly #shards: ShardManager;
  readonly #outlooks: OutlookBoard;
  readonly #vacating: VacatingEndpoints;
  /** Tables whose last poll failed. */
  readonly #failingTables = new Set<string>();
  /** Monotonic time of the store's last answer. */
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
    this.#outlooks = new OutlookBoard(deps.store, clock);
    this.intake = new Intake(
      store,
      clock,
      store,
      new OutlookAdmission(this.#outlooks, deps.log),
    );
    this.#storeAnsweredAt = clock.now();
    this.#actors = new ActorSystem(clock, deps.onCrash);
    this.#vacating = new VacatingEndpoints(deps.store);
    this.#shards = new ShardManager({
      ...deps,
      store,
      vacating: () => this.#vacating.states,
      plannedVacates: () => this.#vacating.planned,
      refreshVacating: async () => (await this.#vacating.refresh()).ok,
      isFollowing: () => deps.followed.every((f) => f.watch.isFollowing),
      onStoreAnswer: () => {
        this.#storeAnsweredAt = clock.now();
      },
    });
  }

  /** Readiness: whether callers should be sent to this entry. */
  get isReady(): boolean {
    const { clock, catalog } = this.deps;
    return !this.#stopping && catalog.current !== undefined &&
      clock.now() - this.#storeAnsweredAt < storeUnansweredLimitMs;
  }

  /** Number of shards that this entry owns. */
  get ownedShards(): number {
    return this.#shards.size;
  }

  /** Starts following tables and claiming shards. */
  start(): void {
    const { catalog } = this.deps;
    catalog.onChange(({ queues }) => this.intake.prepare(queues));
    if (catalog.current) this.intake.prepare(catalog.current.queues);
    for (const table of this.deps.followed) {
      this.#actors.loop(table.name, () => this.#follow(table));
    }
    this.#actors.loop(
      "vacate",
      () =>
        this.#follow({
          name: "vacate",
          watch: this.#vacating.watch,
          waitMs: vacatePollMs,
          pauseMs: 100,
          onlyWhileActive: true,
        }),
    );
    this.#actors.loop("outlooks", () => this.#followOutlooks());
    this.#actors.loop("members", () => this.#shards.refresh());
  }

  /**
   * Releases all shards and stops. Callers are served for the grace time, so
   * that they can move to other entries.
   */
  async shutdown(): Promise<void> {
    this.#stopping = true;
    await Promise.all([
      this.#shards.release(),
      delay(this.deps.clock, shutdownGraceMs),
    ]);
    this.#actors.stop();
  }

  /** Polls the outlooks; returns the delay until the next poll, in ms. */
  async #followOutlooks(): Promise<number> {
    const polled = await this.#outlooks.poll();
    return polled.ok || polled.val.kind === "expired"
      ? outlookPollPauseMs
      : pollRetryDelayMs;
  }

  /** Polls one table; returns the delay until the next poll, in ms. */
  async #follow(table: FollowedTable): Promise<number> {
    if (table.onlyWhileActive && !this.#shards.isActive) {
      table.watch.stopFollowing();
      return inactiveRecheckMs;
    }
    const { clock, log } = this.deps;
    const sentAt = clock.now();
    const polled = this.#breaker.record(await table.watch.poll(table.waitMs));
    if (polled.ok) {
      const { version } = table.watch;
      if (version !== undefined) this.intake.addStoreVersion(version, sentAt);
      this.#storeAnsweredAt = clock.now();
      table.onConfirmed?.(confirmedAt(sentAt, clock.now(), table.waitMs));
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
