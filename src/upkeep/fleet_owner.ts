/**
 * Owner of the fleet shard: the single process that sends orders about hosts,
 * as holder of the fleet's lease. It runs maintenance waves and moves hosts
 * between pools as demand changes.
 */
import {
  type HostMove,
  planHostMoves,
  type PoolDemand,
  poolDemandKey,
  poolDemandSchema,
  type ProviderHost,
} from "../capacity/index.ts";
import type { CatalogHolder } from "../catalog/index.ts";
import type { Clock } from "../clock/index.ts";
import {
  fleetShard,
  leaseTransactionEntries,
  livenessCommitIntervalMs,
  type PreviousOwner,
  type ShardLease,
} from "../cluster/index.ts";
import type { EndpointRegistry } from "../endpoint/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import { singleKeyRange } from "../batch/index.ts";
import {
  maxTransactionEntries,
  parseJson,
  type Store,
} from "../store/index.ts";
import type { HostControl } from "./host_control.ts";
import { HostOrders } from "./host_orders.ts";
import { sendInBatches } from "./order_batches.ts";
import { decodeVacate, vacatedKey, vacateTable, waveRowKey } from "./rows.ts";
import { VacateTracker } from "./vacate_tracker.ts";
import {
  type HostListing,
  type WaveRequests,
  WaveRunner,
} from "./wave_runner.ts";

/** Interval of the control loop, in ms. */
const reconcileIntervalMs = 200;

/**
 * Age of the last commit, in ms, from which the lease is renewed without other
 * changes. A commit also shows whether another owner has the fleet.
 */
const renewAfterMs = 1_000;

/**
 * Age of the pools' offers, in ms, above which no host is moved. It is less
 * than the time for which an endpoint is kept empty after its offer is
 * withdrawn.
 */
const maxOfferAgeMs = 350;

/**
 * Time for which the endpoint of a host that is up may be unregistered before
 * it counts as unreachable, in ms. It covers the endpoint's start, the poll of
 * the registrations, and the one second by which the platform's registration
 * pages lag.
 */
const registrationGraceMs = 2_500;

/** Time for which a host is not moved again after a rejected move, in ms. */
const rejectedMoveBackoffMs = 2_000;

/** Dependencies of the fleet's owner. */
export interface FleetDependencies {
  /** Name of this entry. */
  readonly entry: string;
  readonly lease: ShardLease;
  readonly store: Store;
  readonly control: HostControl;
  readonly requestedWaves: WaveRequests;
  readonly catalog: CatalogHolder;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** What is known about the previous owner. */
  readonly previous: PreviousOwner;
  /** Whether the entry's heartbeats fail, so that its commits must show that it is alive. */
  readonly areHeartbeatsLate: () => boolean;
}

/** Runs maintenance waves and moves hosts between pools. */
export class FleetOwner {
  /** Monotonic time before which no order is sent. */
  readonly #orders: HostOrders;
  readonly #vacates = new VacateTracker();
  readonly #waveRunner: WaveRunner;
  /** Monotonic time since which an endpoint has been offered. */
  readonly #offeredSince = new Map<string, number>();
  /** Monotonic time since which an endpoint of an `up` host is unregistered. */
  #missingSince: ReadonlyMap<string, number> = new Map();
  /** Monotonic time until which a host is not moved. */
  readonly #backoffUntil = new Map<string, number>();
  #isLoaded = false;
  #isStopped = false;

  constructor(private readonly deps: FleetDependencies) {
    this.#orders = new HostOrders({ ...deps, mayAct: () => !this.#mayNotAct });
    this.#waveRunner = new WaveRunner({ ...deps, vacates: this.#vacates });
  }

  /** Sends no further orders; those in flight may still be carried out. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Runs one iteration; returns the delay until the next, in ms. */
  async reconcile(): Promise<number> {
    const { lease, clock, control, log } = this.deps;
    if (this.#mayNotAct) return reconcileIntervalMs;
    if (!this.#isLoaded && !await this.#load()) return reconcileIntervalMs;
    const requestedAt = clock.now();
    const listed = await control.list();
    if (listed.err) {
      log.decision("host-list-failed", { message: listed.val });
      if (this.#isRenewalDue) await lease.commit([], []);
      return reconcileIntervalMs;
    }
    const hosts = new Map(listed.val.map((host) => [host.host, host]));
    this.#vacates.observe(listed.val, requestedAt);
    await this.#forgetWithdrawn(listed.val);
    await this.#advanceWaves({ hosts, requestedAt });
    await this.#moveHosts(listed.val);
    await this.#commitChanges(listed.val);
    return reconcileIntervalMs;
  }

  /** Whether the owner is stopped or its lease lost or released. */
  get #mayNotAct(): boolean {
    return this.#isStopped || this.deps.lease.isLost;
  }

  /** Whether the lease is to be renewed without other changes. */
  get #isRenewalDue(): boolean {
    const { lease, areHeartbeatsLate } = this.deps;
    const maxAgeMs = areHeartbeatsLate()
      ? livenessCommitIntervalMs
      : renewAfterMs;
    return lease.ageMs > maxAgeMs;
  }

  /** Loads the state of the previous owner; false on failure. */
  async #load(): Promise<boolean> {
    const { store, clock } = this.deps;
    const [waves, vacating] = await Promise.all([
      store.range({ table: waveRowKey("").table, partition: fleetShard }),
      store.range({ table: vacateTable, partition: fleetShard }),
    ]);
    if (waves.err || vacating.err) return false;
    this.#waveRunner.load(waves.val.rows);
    for (const { key, value } of vacating.val.rows) {
      this.#vacates.load(key, decodeVacate(value), clock.wall());
    }
    this.#isLoaded = true;
    return true;
  }

  /**
   * Reads which of the endpoints `ids` their pool's owner reports as empty;
   * `isComplete` is false if a read failed.
   */
  async #readVacated(
    hosts: readonly ProviderHost[],
    ids: ReadonlySet<string>,
  ): Promise<{ readonly vacated: Set<string>; readonly isComplete: boolean }> {
    const pools = hosts.filter((h) => ids.has(h.endpoint)).map((h) => h.pool);
    const reads = await Promise.all(
      [...new Set(pools)].map((pool) => {
        const { table, partition } = vacatedKey(pool, "");
        return this.deps.store.range({ table, partition });
      }),
    );
    const reported = reads.flatMap((read) =>
      read.ok ? read.val.rows.map((row) => row.key) : []
    );
    return {
      vacated: new Set(reported.filter((id) => ids.has(id))),
      isComplete: reads.every((read) => read.ok),
    };
  }

  /**
   * Forgets the endpoints whose request to vacate them is withdrawn. One that
   * is still reported as empty is kept, because the report would count for the
   * next request, when the endpoint may have received tasks.
   */
  async #forgetWithdrawn(hosts: readonly ProviderHost[]): Promise<void> {
    const withdrawn = this.#vacates.withdrawn();
    if (withdrawn.size === 0) return;
    const read = await this.#readVacated(hosts, withdrawn);
    if (!read.isComplete) return;
    for (const id of withdrawn) {
      if (!read.vacated.has(id)) this.#vacates.forgetWithdrawn(id);
    }
  }

  /**
   * Advances all open waves by their next actions, and plans to vacate the hosts
   * that wait for their turn.
   */
  async #advanceWaves(listing: HostListing): Promise<void> {
    const open = this.#waveRunner.openWaves();
    const hosts = [...listing.hosts.values()];
    const vacated = open.length > 0
      ? (await this.#readVacated(hosts, this.#vacates.all())).vacated
      : new Set<string>();
    const planned: string[] = [];
    for (const wave of open) {
      const waiting = await this.#waveRunner.advance(
        wave,
        listing,
        vacated,
        (host, id) => this.#orders.maintain(host, id),
      );
      planned.push(...waiting);
    }
    this.#vacates.setPlanned(new Set(planned), this.deps.clock.wall());
  }

  /** Plans moves between pools and sends the orders. */
  async #moveHosts(hosts: readonly ProviderHost[]): Promise<void> {
    const { catalog, clock } = this.deps;
    const pools = catalog.current?.pools ?? [];
    const now = clock.now();
    const demands = await this.#readDemands(pools.map((pool) => pool.name));
    this.#updateOffers(demands, now);
    const waveHosts = this.#waveRunner.pendingHosts();
    // Hosts that a wave will soon take down come last, so that they are the
    // first to stay where they are, and pools get hosts that stay up.
    const ordered = [...hosts].sort((a, b) =>
      Number(waveHosts.has(a.host)) - Number(waveHosts.has(b.host))
    );
    const moves = planHostMoves({
      pools,
      hosts: ordered.filter((h) =>
        (this.#backoffUntil.get(h.host) ?? 0) <= now
      ),
      demands,
      vacating: this.#vacates.all(),
      unreachable: this.#unreachableEndpoints(hosts, demands, now),
      offeredFor: (id) => now - (this.#offeredSince.get(id) ?? now),
    });
    // An offer that was read too long ago may have been withdrawn since.
    const isFresh = () => clock.now() - now <= maxOfferAgeMs;
    await sendInBatches(moves, isFresh, (move) => this.#move(move, isFresh));
  }

  /**
   * Endpoints that their pool's owner cannot reach, and endpoints of `up` hosts
   * that have been unregistered for longer than the grace time.
   */
  #unreachableEndpoints(
    hosts: readonly ProviderHost[],
    demands: ReadonlyMap<string, PoolDemand>,
    now: number,
  ): ReadonlySet<string> {
    const { registry } = this.deps;
    const missing = hosts.filter(({ state, endpoint }) =>
      state === "up" && endpoint !== "" && registry.get(endpoint) === undefined
    ).map((h) => h.endpoint);
    const since = new Map(
      missing.map((id) => [id, this.#missingSince.get(id) ?? now]),
    );
    this.#missingSince = since;
    const overdue = missing.filter((id) =>
      now - (since.get(id) ?? now) > registrationGraceMs
    );
    const silent = [...demands.values()].flatMap((demand) => demand.silent);
    return new Set([...overdue, ...silent]);
  }

  /** Tracks since when each endpoint has been offered. */
  #updateOffers(demands: ReadonlyMap<string, PoolDemand>, now: number): void {
    const offered = new Set([...demands.values()].flatMap((d) => d.offered));
    for (const id of this.#offeredSince.keys()) {
      if (!offered.has(id)) this.#offeredSince.delete(id);
    }
    for (const id of offered) {
      if (!this.#offeredSince.has(id)) this.#offeredSince.set(id, now);
    }
  }

  /** Reads the pools' demands; leaves out pools whose read fails. */
  async #readDemands(
    pools: readonly string[],
  ): Promise<ReadonlyMap<string, PoolDemand>> {
    const demands = new Map<string, PoolDemand>();
    await Promise.all(pools.map(async (pool) => {
      const read = await this.deps.store.range(
        singleKeyRange(poolDemandKey(pool)),
      );
      const row = read.ok ? read.val.rows[0] : undefined;
      const demand = row && parseJson(poolDemandSchema, row.value);
      if (demand !== undefined) demands.set(pool, demand);
    }));
    return demands;
  }

  /** Moves a host; false if no further moves should be ordered for now. */
  async #move(move: HostMove, maySend: () => boolean): Promise<boolean> {
    const { host, endpoint } = move;
    const { clock } = this.deps;
    const outcome = await this.#orders.move(move, maySend);
    if (outcome === undefined) return false;
    if (outcome.kind === "done") {
      this.#vacates.markDown(endpoint, clock.wall());
    } else if (outcome.kind !== "throttled") {
      this.#backoffUntil.set(host, clock.now() + rejectedMoveBackoffMs);
    }
    return outcome.kind === "done" || outcome.kind === "rejected";
  }

  /** Stores changed progress and vacate rows, and renews the lease if due. */
  async #commitChanges(hosts: readonly ProviderHost[]): Promise<void> {
    const { lease, clock, log } = this.deps;
    const waves = this.#waveRunner.pendingPuts();
    const maxVacateEntries = maxTransactionEntries - leaseTransactionEntries -
      waves.length;
    const vacates = this.#vacates.pendingChanges(
      hosts,
      clock.now(),
      maxVacateEntries,
    );
    const puts = [...waves, ...vacates.puts];
    const isUnchanged = puts.length + vacates.removes.length === 0;
    if (!isUnchanged || this.#isRenewalDue) {
      const committed = await lease.commit(puts, vacates.removes);
      if (committed.err) {
        log.decision("fleet-not-stored", { message: committed.val.message });
        return;
      }
      vacates.onCommitted();
    }
    await this.#waveRunner.onCommitted(waves);
  }
}
