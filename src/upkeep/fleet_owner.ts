/**
 * Owner of the fleet: the one process that orders hosts about, under the
 * fleet's lease. It carries out maintenance waves and keeps the pools' sizes.
 */
import type { CatalogHolder } from "../catalog/index.ts";
import type { Clock } from "../clock/index.ts";
import {
  leaseEntries,
  type PreviousOwner,
  type ShardLease,
} from "../cluster/index.ts";
import type { EndpointRegistry } from "../endpoint/index.ts";
import type { DecisionLog } from "../scheduler/index.ts";
import { onlyKey } from "../batch/index.ts";
import {
  maxTransactionEntries,
  parseJson,
  type Store,
} from "../store/index.ts";
import type {
  HostControl,
  HostOrderOutcome,
  ListedHost,
  OrderHolder,
} from "./host_control.ts";
import { giveOrders } from "./move_orders.ts";
import {
  type HostMove,
  planSizes,
  type PoolDemand,
  poolDemandSchema,
} from "./pool_sizes.ts";
import {
  decodeVacate,
  demandKey,
  fleetShard,
  vacatedKey,
  vacateTable,
  waveKey,
} from "./rows.ts";
import { VacateBook } from "./vacate_book.ts";
import { type HostListing, type WaveBoard, WaveRunner } from "./wave_runner.ts";

/** Time between two passes, in ms. */
const passMs = 200;

/** Longest time without a commit; a commit shows whether the fleet is lost. */
const renewMs = 1_000;

/**
 * Age of the fleet's last commit from which nothing is ordered, in ms: an
 * owner that was paused must not order beside its successor.
 */
const orderFreshnessMs = 1_000;

/**
 * Age of the pools' offers from which no host is moved, in ms: less than the
 * time for which a withdrawn endpoint is kept empty.
 */
const offerFreshnessMs = 350;

/**
 * Time after the take-over before the first order, in ms, in which orders of
 * the owner before that are on their way arrive. A silent one has not committed
 * for a member's lease, so it gives no new ones.
 */
const handoverMs: Readonly<Record<PreviousOwner, number>> = {
  ended: 300,
  silent: 600,
};

/**
 * Time in which the endpoint of a host that is up registers itself, in ms:
 * its start and a poll of the registrations, with the pages' lag of a second.
 */
const registrationMs = 2_500;

/** Time for which a host whose move was rejected is left alone, in ms. */
const rejectedMoveMs = 2_000;

/** What the owner works with. */
export interface FleetParts {
  readonly entry: string;
  readonly lease: ShardLease;
  readonly store: Store;
  readonly control: HostControl;
  readonly board: WaveBoard;
  readonly catalog: CatalogHolder;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly previous: PreviousOwner;
}

/** Orders hosts about. */
export class FleetOwner {
  readonly #startAt: number;
  readonly #vacates = new VacateBook();
  readonly #waves: WaveRunner;
  /** Steady time since which an endpoint is offered. */
  readonly #offeredSince = new Map<string, number>();
  /** Steady time since which the endpoint of a host that is up is missing. */
  #missingSince: ReadonlyMap<string, number> = new Map();
  /** Steady time until which a host is not moved. */
  readonly #restUntil = new Map<string, number>();
  #isLoaded = false;
  /** A renewal of the lease that is on its way. */
  #renewal: Promise<boolean> | undefined;

  constructor(private readonly parts: FleetParts) {
    this.#startAt = parts.clock.now() + handoverMs[parts.previous];
    this.#waves = new WaveRunner({ ...parts, vacates: this.#vacates });
  }

  /** One pass; returns the time until the next, in ms. */
  async pass(): Promise<number> {
    const { lease, clock, control, log } = this.parts;
    if (lease.isLost) return passMs;
    if (!this.#isLoaded && !await this.#load()) return passMs;
    const askedAt = clock.now();
    const listed = await control.list();
    if (listed.err) {
      log.decision("host-list-failed", { message: listed.val });
      if (lease.ageMs > renewMs) await lease.commit([], []);
      return passMs;
    }
    const hosts = new Map(listed.val.map((host) => [host.host, host]));
    await this.#advanceWaves({ hosts, askedAt });
    await this.#sizePools(listed.val);
    await this.#store(listed.val);
    return passMs;
  }

  async #load(): Promise<boolean> {
    const { store, clock } = this.parts;
    const [waves, vacating] = await Promise.all([
      store.range({ table: waveKey("").table, partition: fleetShard }),
      store.range({ table: vacateTable, partition: fleetShard }),
    ]);
    if (waves.err || vacating.err) return false;
    this.#waves.load(waves.val.rows);
    for (const { key, value } of vacating.val.rows) {
      this.#vacates.load(key, decodeVacate(value), clock.wall());
    }
    this.#isLoaded = true;
    return true;
  }

  /** Endpoints that were reported empty since they were asked to be. */
  async #emptyEndpoints(
    hosts: readonly ListedHost[],
  ): Promise<ReadonlySet<string>> {
    const asked = hosts.filter((h) => this.#vacates.has(h.endpoint));
    const pools = new Set(asked.map((h) => h.pool));
    const reads = await Promise.all(
      [...pools].map((pool) => {
        const { table, partition } = vacatedKey(pool, "");
        return this.parts.store.range({ table, partition });
      }),
    );
    const keys = reads.flatMap((read) =>
      read.ok ? read.val.rows.map((row) => row.key) : []
    );
    return new Set(keys.filter((id) => this.#vacates.has(id)));
  }

  async #advanceWaves(listing: HostListing): Promise<void> {
    const open = this.#waves.open();
    if (open.length === 0) return;
    const empty = await this.#emptyEndpoints([...listing.hosts.values()]);
    for (const wave of open) {
      await this.#waves.advance(
        wave,
        listing,
        empty,
        (host, id) => this.#maintain(host, id),
      );
    }
  }

  async #sizePools(hosts: readonly ListedHost[]): Promise<void> {
    const { catalog, clock } = this.parts;
    const pools = catalog.current?.pools ?? [];
    const now = clock.now();
    const demands = await this.#readDemands(pools.map((pool) => pool.name));
    this.#noteOffers(demands, now);
    const pending = this.#waves.pendingHosts();
    const planned = planSizes({
      pools,
      hosts: hosts.filter((h) => (this.#restUntil.get(h.host) ?? 0) <= now),
      demands,
      vacating: this.#vacates.all(),
      unreachable: this.#unreachable(hosts, demands, now),
      offeredFor: (id) => now - (this.#offeredSince.get(id) ?? now),
    });
    // Hosts that a wave will take soon are the first to be left where they are.
    const moves = [...planned].sort((a, b) =>
      Number(pending.has(a.host)) - Number(pending.has(b.host))
    );
    // An offer that was read too long ago may have been withdrawn.
    const isFresh = () => clock.now() - now <= offerFreshnessMs;
    await giveOrders(moves, isFresh, (move) => this.#move(move, isFresh));
  }

  /**
   * Endpoints that their pool's owner does not reach, and those of hosts that
   * are up without being registered for a while.
   */
  #unreachable(
    hosts: readonly ListedHost[],
    demands: ReadonlyMap<string, PoolDemand>,
    now: number,
  ): ReadonlySet<string> {
    const { registry } = this.parts;
    const missing = hosts.filter(({ state, endpoint }) =>
      state === "up" && endpoint !== "" && registry.get(endpoint) === undefined
    ).map((h) => h.endpoint);
    const since = new Map(
      missing.map((id) => [id, this.#missingSince.get(id) ?? now]),
    );
    this.#missingSince = since;
    const long = missing.filter((id) =>
      now - (since.get(id) ?? now) > registrationMs
    );
    const silent = [...demands.values()].flatMap((demand) => demand.silent);
    return new Set([...long, ...silent]);
  }

  #noteOffers(demands: ReadonlyMap<string, PoolDemand>, now: number): void {
    const offered = new Set([...demands.values()].flatMap((d) => d.offered));
    for (const id of this.#offeredSince.keys()) {
      if (!offered.has(id)) this.#offeredSince.delete(id);
    }
    for (const id of offered) {
      if (!this.#offeredSince.has(id)) this.#offeredSince.set(id, now);
    }
  }

  async #readDemands(
    pools: readonly string[],
  ): Promise<ReadonlyMap<string, PoolDemand>> {
    const demands = new Map<string, PoolDemand>();
    await Promise.all(pools.map(async (pool) => {
      const read = await this.parts.store.range(onlyKey(demandKey(pool)));
      const row = read.ok ? read.val.rows[0] : undefined;
      const demand = row && parseJson(poolDemandSchema, row.value);
      if (demand !== undefined) demands.set(pool, demand);
    }));
    return demands;
  }

  async #maintain(host: ListedHost, wave: string): Promise<boolean> {
    const outcome = await this.#order((holder) =>
      this.parts.control.maintain(host.host, wave, holder)
    );
    this.#logOrder("host-maintenance", host.host, outcome, { wave });
    return outcome?.kind === "done";
  }

  /** Moves a host; false when no further order should be given now. */
  async #move(
    { host, endpoint, from, to }: HostMove,
    mayGive: () => boolean,
  ): Promise<boolean> {
    const { control, clock } = this.parts;
    const outcome = await this.#order(
      (holder) => control.move(host, to, holder),
      mayGive,
    );
    this.#logOrder("host-move", host, outcome, { from, to });
    if (outcome === undefined) return false;
    if (outcome.kind === "done") {
      this.#vacates.takenAway(endpoint, clock.wall());
    } else if (outcome.kind !== "throttled") {
      this.#restUntil.set(host, clock.now() + rejectedMoveMs);
    }
    return outcome.kind === "done" || outcome.kind === "rejected";
  }

  /**
   * Gives an order while the lease is fresh, and if it may still be given
   * after a renewal; undefined when it was not given.
   */
  async #order(
    give: (holder: OrderHolder) => Promise<HostOrderOutcome>,
    mayGive: () => boolean = () => true,
  ): Promise<HostOrderOutcome | undefined> {
    const { clock, lease, entry } = this.parts;
    if (clock.now() < this.#startAt || !await this.#isLeaseFresh()) {
      return undefined;
    }
    if (!mayGive()) return undefined;
    return await give({ entry, term: lease.term });
  }

  /** Renews the lease when it is old; orders side by side share a renewal. */
  async #isLeaseFresh(): Promise<boolean> {
    const { lease } = this.parts;
    if (lease.ageMs <= orderFreshnessMs) return true;
    this.#renewal ??= lease.commit([], []).then((renewed) => {
      this.#renewal = undefined;
      return renewed.ok;
    });
    return await this.#renewal;
  }

  #logOrder(
    event: string,
    host: string,
    outcome: HostOrderOutcome | undefined,
    fields: Readonly<Record<string, string>>,
  ): void {
    if (outcome === undefined) return;
    const { log, lease } = this.parts;
    const { kind } = outcome;
    const reason = kind === "rejected" ? outcome.reason : undefined;
    const message = kind === "unknown" ? outcome.message : reason;
    const { term } = lease;
    log.decision(event, { ...fields, host, term, outcome: kind, message });
  }

  async #store(hosts: readonly ListedHost[]): Promise<void> {
    const { lease, clock, log } = this.parts;
    const waves = this.#waves.changes();
    const room = maxTransactionEntries - leaseEntries - waves.length;
    const vacates = this.#vacates.changes(hosts, clock.now(), room);
    const puts = [...waves, ...vacates.puts];
    const isSame = puts.length + vacates.removes.length === 0;
    if (!isSame || lease.ageMs > renewMs) {
      const done = await lease.commit(puts, vacates.removes);
      if (done.err) {
        log.decision("fleet-not-stored", { message: done.val.message });
        return;
      }
      vacates.stored();
    }
    await this.#waves.stored(waves);
  }
}
