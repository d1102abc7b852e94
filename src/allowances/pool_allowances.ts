/**
 * Keeps what one pool holds of the workspaces' limits: follows the allowance
 * rows, says what a placement pass may start, and takes and gives back amounts.
 *
 * What is held belongs to the pool's shard and not to its owner. An owner that
 * takes over claims it under its term, in a transaction that makes each earlier
 * one of its predecessors fail.
 */
import type { CatalogHolder } from "../catalog/index.ts";
import { addResources, noResources, type Resources } from "../batch/index.ts";
import { type Clock, delay } from "../clock/index.ts";
import type { ShardLease } from "../cluster/index.ts";
import { longestInheritedLeaseMs, type Run } from "../sessions/index.ts";
import { type Store, TableWatch } from "../store/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import { isLimited, type Workspace } from "../workspaces/index.ts";
import { AllowanceLog } from "./allowance_log.ts";
import {
  allowancePartition,
  allowanceTable,
  heldByOthers,
} from "./allowance_row.ts";
import {
  maxRowsPerTransaction,
  type RowChange,
  showOutcome,
  transactionOf,
} from "./allowance_transaction.ts";
import { AllowanceView, type SeenAllowance } from "./allowance_view.ts";
import { isLowerLimit } from "./amounts.ts";
import { GonePools } from "./gone_pools.ts";
import { nextAllowance, type PoolNeed, shareOf } from "./next_allowance.ts";
import { Shortages } from "./shortages.ts";
import {
  StartBudget,
  unlimitedBudget,
  type WorkspaceRoom,
} from "./start_budget.ts";

/**
 * Age of the last confirmation of the rows by the store from which no task of a
 * limited workspace starts, in ms. A limit that was lowered is seen until then.
 */
const maxViewAgeMs = 2_000;

/** Longest time that a poll of the rows waits for a change, in ms. */
const followWaitMs = 700;

/**
 * Pause after a poll of the rows, in ms. While pools compete for a limit, the
 * changes of that time arrive together.
 */
const followPauseMs = 50;

/** Polls without an answer after which the rows are read anew. */
const maxFeedFailures = 2;

/** Pause after a failed call, in ms. */
const retryPauseMs = 100;

/** Interval at which an owner without limited workspaces looks for some, in ms. */
const idlePauseMs = 250;

/** Minimum time between two transactions, in ms. */
const writeSpacingMs = 100;

/** Interval at which passes without a new shortage look for changes, in ms. */
const checkIntervalMs = 100;

/**
 * Time after which a pool that the catalog does not serve, or that does not
 * declare what it has running, has nothing running any more, in ms.
 */
const goneAfterMs = longestInheritedLeaseMs("silent");

/** Dependencies of {@link PoolAllowances}. */
export interface AllowanceDependencies {
  /** Name of the pool. */
  readonly shard: string;
  readonly lease: Pick<ShardLease, "term">;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly catalog: Pick<CatalogHolder, "current">;
  /** All runs of the pool that may be in progress. */
  readonly runs: () => Iterable<Pick<Run, "workspace" | "step">>;
  /** Called when more tasks may start than before. */
  readonly onChange: () => void;
  /** Called with the error when the writing of rows has failed by one. */
  readonly onCrash: (actor: string, err: unknown) => void;
}

/** One pool's share of the limits. */
export class PoolAllowances {
  readonly #view: AllowanceView;
  readonly #watch: TableWatch;
  readonly #log: AllowanceLog;
  readonly #gone = new GonePools(goneAfterMs);
  readonly #shortages = new Shortages();
  #heldBackJobs: ReadonlySet<string> = new Set();
  /** Monotonic time at which the rows were seen as they were, in ms. */
  #confirmedAt = -Infinity;
  /** Monotonic time at which all rows were last compared with the need, in ms. */
  #checkedAt = -Infinity;
  #isWriting = false;
  #isStopped = false;

  constructor(private readonly deps: AllowanceDependencies) {
    const { shard, lease, store } = deps;
    this.#view = new AllowanceView(shard, lease.term);
    this.#log = new AllowanceLog(deps);
    this.#watch = new TableWatch(
      store,
      allowanceTable,
      [allowancePartition],
      this.#view.handler,
      { maxFeedFailures },
    );
  }

  /** Starts no further transaction. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Jobs of which the last pass held tasks back. */
  get heldBackJobs(): ReadonlySet<string> {
    return this.#heldBackJobs;
  }

  /** Follows the rows for a while; returns the pause until the next call (ms). */
  async poll(): Promise<number> {
    if (this.#limitedWorkspaces().length === 0) {
      this.#watch.stopFollowing();
      return idlePauseMs;
    }
    const sentAt = this.deps.clock.now();
    const polled = await this.#watch.poll(followWaitMs);
    if (polled.err) return retryPauseMs;
    this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
    this.#startWriting();
    this.deps.onChange();
    return followPauseMs;
  }

  /** The budget of a placement pass that begins now. */
  startBudget(): StartBudget {
    const limited = this.#limitedWorkspaces();
    if (limited.length === 0) return unlimitedBudget();
    const byName = new Map(limited.map((each) => [each.name, each]));
    let usage: ReadonlyMap<string, Resources> | undefined;
    return new StartBudget((name) => {
      const workspace = byName.get(name);
      if (workspace === undefined) return undefined;
      // A pass asks for the room of a workspace before it starts a task of it.
      usage ??= this.#usage();
      return this.#roomOf(workspace, usage.get(name) ?? noResources);
    });
  }

  /** Takes note of what a pass has held back. */
  concludePass(budget: StartBudget): void {
    const now = this.deps.clock.now();
    this.#heldBackJobs = budget.heldBackJobs;
    const shortages = budget.shortages();
    const hasNewShortage = this.#shortages.update(shortages, now);
    for (const workspace of shortages.keys()) {
      this.#log.short(workspace, this.#view.seen(workspace), now);
    }
    const isCheckDue = now - this.#checkedAt >= checkIntervalMs;
    if (hasNewShortage || isCheckDue) this.#startWriting();
  }

  #limitedWorkspaces(): readonly Workspace[] {
    return this.deps.catalog.current?.workspaces?.all().filter(isLimited) ?? [];
  }

  /** Resources of the runs that may be in progress, by workspace. */
  #usage(): ReadonlyMap<string, Resources> {
    const usage = new Map<string, Resources>();
    for (const { workspace, step } of this.deps.runs()) {
      if (workspace === undefined) continue;
      const sum = usage.get(workspace) ?? noResources;
      usage.set(workspace, addResources(sum, step.demand));
    }
    return usage;
  }

  #roomOf({ name, limit }: Workspace, used: Resources): WorkspaceRoom {
    const { clock, shard, catalog } = this.deps;
    const { allowance } = this.#view.seen(name);
    const isFresh = clock.now() - this.#confirmedAt <= maxViewAgeMs;
    if (allowance === undefined || !isFresh) {
      const none = noResources;
      const share = undefined;
      return { limit, held: none, others: none, share, used, isOpen: false };
    }
    const isNewer = (catalog.current?.version ?? 0) > allowance.limitVersion;
    const isLowered = isNewer && isLowerLimit(limit, allowance.limit);
    return {
      limit: allowance.limit,
      held: this.#view.confirmedHolding(name),
      others: heldByOthers(allowance, shard),
      share: shareOf(allowance, shard),
      used,
      isOpen: !isLowered && allowance.undeclaredPools.length === 0,
    };
  }

  #startWriting(): void {
    if (this.#isWriting || this.#isStopped) return;
    this.#isWriting = true;
    this.#writeChanges()
      .catch((err) => this.deps.onCrash("allowances", err))
      .finally(() => {
        this.#isWriting = false;
      });
  }

  /** Writes until nothing has to be changed. */
  async #writeChanges(): Promise<void> {
    const { clock } = this.deps;
    while (!this.#isStopped && this.#watch.isFollowing) {
      const changes = this.#changes();
      if (changes.length === 0) return;
      const pauseMs = await this.#commit(changes);
      if (pauseMs > 0) await delay(clock, pauseMs);
    }
  }

  /** The rows that this owner has to change, at most one transaction of them. */
  #changes(): readonly RowChange[] {
    this.#checkedAt = this.deps.clock.now();
    const limited = this.#limitedWorkspaces();
    const usage = this.#usage();
    const changes = this.#obsoleteRows(limited);
    for (const workspace of limited) {
      const before = this.#view.seen(workspace.name);
      const used = usage.get(workspace.name) ?? noResources;
      const need = this.#needOf(workspace, before, used);
      const next = nextAllowance(before.allowance, need);
      if (next === undefined) continue;
      changes.push({ workspace: workspace.name, before, next });
    }
    return changes.slice(0, maxRowsPerTransaction);
  }

  /** Removals of the rows of workspaces that are not limited any more. */
  #obsoleteRows(limited: readonly Workspace[]): RowChange[] {
    const names = new Set(limited.map(({ name }) => name));
    const version = this.deps.catalog.current?.version ?? 0;
    return this.#view.all()
      .filter(({ allowance: { workspace, limitVersion } }) =>
        !names.has(workspace) && limitVersion < version
      )
      .map((before) => ({
        workspace: before.allowance.workspace,
        before,
        next: undefined,
      }));
  }

  #needOf(
    { name, limit }: Workspace,
    { allowance }: SeenAllowance,
    usage: Resources,
  ): PoolNeed {
    const { shard, lease, catalog, clock } = this.deps;
    const now = clock.now();
    const servingPools = (catalog.current?.pools ?? [])
      .filter((pool) => !pool.standby).map((pool) => pool.name);
    return {
      workspace: name,
      pool: shard,
      term: lease.term,
      usage,
      shortage: this.#shortages.of(name),
      mayExceed: this.#shortages.mayExceed(name, now),
      limit,
      catalogVersion: catalog.current?.version ?? 0,
      servingPools,
      gonePools: this.#gone.update(name, allowance, servingPools, now),
    };
  }

  /** Commits changes; returns the pause until the next transaction, in ms. */
  async #commit(changes: readonly RowChange[]): Promise<number> {
    for (const { before, next } of changes) {
      if (next !== undefined) this.#view.propose(next, before.version);
    }
    const transaction = transactionOf(changes);
    const outcome = await this.deps.store.commit(transaction);
    if (outcome.err) {
      this.#log.writeFailed(outcome.val);
      return retryPauseMs;
    }
    showOutcome(this.#view, transaction, outcome.val);
    if (outcome.val.kind === "conflict") return 0;
    for (const { workspace, before, next } of changes) {
      const { version } = outcome.val;
      this.#log.changed(workspace, before.allowance, next, version);
    }
    this.deps.onChange();
    return writeSpacingMs;
  }
}
