/**
 * Reports a shard's demand for hosts to the owner of the fleet: how many hosts
 * it wants, which ones it offers to other pools, and which are unresponsive.
 */
import type { JobSpec } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import { parseJson, type RowPut } from "../store/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import { ArrivalRate } from "./arrival_rate.ts";
import { computeHostDemand, type HostDemandInput } from "./host_demand.ts";
import { HostOffers } from "./host_offers.ts";
import { neededEndpoints } from "./needed_endpoints.ts";
import {
  type PoolDemand,
  poolDemandKey,
  poolDemandSchema,
} from "./pool_demand.ts";
import type { IsLate, RunTimeEstimates } from "./pool_state.ts";
import { planRelocations } from "./relocations.ts";

/** Minimum time between two writes of the demand row, in ms. */
const minWriteIntervalMs = 180;

/**
 * Maximum age at which a job that is read from the inbox counts towards the
 * arrival rate, in ms. Older jobs are a backlog, for example after a change of
 * owner.
 */
const maxArrivalAgeMs = 1_500;

/**
 * Time without an answer after which the host of an endpoint is to be
 * replaced, in ms. It is long enough that one lost answer causes no host move.
 */
const unresponsiveMs = 600;

/**
 * Time after which unclaimed offers show that no other pool needs hosts, in ms.
 */
const unclaimedMs = 1_200;

/**
 * Time for which late work then counts like other work, in ms. It covers the
 * withdrawal of the offers, also for tasks with an availability budget, and the
 * start of the tasks that have waited for them. If it were shorter, the
 * endpoints would be offered again before they got any task.
 */
const lateWorkCountsMs = 3_500;

/** Dependencies of a {@link DemandReporter}. */
export interface DemandReporterDependencies {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly runTimes: RunTimeEstimates;
  /**
   * Core-seconds of work on time that a ready core-second costs; undefined if
   * surges get no margin at their beginning.
   */
  readonly readyPrice?: number;
  /** Creates the test for late occurrences at a wall-clock time (ms). */
  readonly createLateFilter: (wall: number) => IsLate;
  /**
   * Writes a row in the next commit, and calls `onStored` once it is committed.
   */
  readonly write: (row: RowPut, onStored: () => void) => void;
}

/** State of a pool from which its demand is computed. */
export interface PoolReport
  extends Pick<HostDemandInput, "jobs" | "endpoints" | "knownHosts"> {
  /** Hosts that are needed whatever the size of the jobs. */
  readonly minHosts: number;
  /** Share of the open endpoints' CPU or memory that tasks use, 0 to 1. */
  readonly usedShare: number;
}

/** What a `pool-demand` decision tells of the pool. */
interface LoggedDemand extends Pick<PoolReport, "endpoints" | "usedShare"> {
  readonly want: number;
  /** Hosts among them for tasks that leave hosts of a wave. */
  readonly relocationHosts: number;
  readonly arrivingCpuMillis: number;
}

/** Computes the host demand of one shard and writes it to the store. */
export class DemandReporter {
  readonly offers = new HostOffers();
  readonly #arrivals: ArrivalRate;
  /** Value of the demand row that was written last. */
  #writtenValue = "";
  /** Monotonic time of that write, in ms. */
  #writtenAt = -Infinity;
  /** Number of hosts in the last `pool-demand` decision. */
  #loggedWant = 0;
  /** Whether endpoints were closing in that decision. */
  #loggedClosing = false;
  /**
   * Monotonic time in ms since which at least one endpoint has been offered.
   */
  #offeringSince: number | undefined;
  /** Monotonic time in ms until which late work counts like other work. */
  #lateWorkCountsUntil = -Infinity;

  constructor(private readonly deps: DemandReporterDependencies) {
    this.#arrivals = new ArrivalRate(deps.runTimes, deps.readyPrice);
  }

  /**
   * Withdraws the offers of an earlier owner.
   * @param value Stored value of the demand row; empty when there is none.
   */
  withdrawInherited(value: string): void {
    const stored = parseJson(poolDemandSchema, value);
    this.offers.withdrawInherited(stored?.offered ?? []);
  }

  /** Counts a job that was read from the inbox towards the arrival rate. */
  recordArrival(spec: JobSpec): void {
    const { clock } = this.deps;
    const age = clock.wall() - spec.acceptedAt;
    if (age < maxArrivalAgeMs) this.#arrivals.record(spec, clock.now());
  }

  /** Whether too few jobs arrive for a forecast of the arrival rate. */
  get isQuiet(): boolean {
    return this.#arrivals.forecastCpuMillis(this.deps.clock.now()) === 0;
  }

  /**
   * Computes the demand, and writes it when it has changed.
   */
  report({ minHosts, usedShare, ...pool }: PoolReport): void {
    const { endpoints } = pool;
    const { clock, shard } = this.deps;
    const now = clock.now();
    if (now - this.#writtenAt < minWriteIntervalMs) return;
    const arrivingCpuMillis = this.#arrivals.forecastCpuMillis(now);
    const isLate = this.#lateFilter(now);
    const hostsForJobs = computeHostDemand({
      ...pool,
      arrivingCpuMillis,
      isLate,
    });
    const { extraHosts, replaceableHosts } = planRelocations(endpoints);
    const want = Math.max(hostsForJobs, minHosts) + extraHosts;
    const needed = this.#neededEndpoints(pool, want, isLate);
    this.offers.adjust(endpoints, want - replaceableHosts, needed);
    this.#logChange({
      want,
      relocationHosts: extraHosts,
      endpoints,
      arrivingCpuMillis,
      usedShare,
    });
    const silent = endpoints
      .filter((each) => each.silentMs >= unresponsiveMs)
      .map((each) => each.id);
    // A host that moves gets another endpoint.
    const setAside = endpoints
      .filter((each) => each.isSetAside && each.runCount === 0)
      .map((each) => each.id);
    const offered = [...this.offers.offered, ...setAside];
    const demand: PoolDemand = {
      want,
      ...(extraHosts > 0 && { relocationHosts: extraHosts }),
      offered,
      silent,
    };
    const value = JSON.stringify(demand);
    if (value === this.#writtenValue) return;
    this.#writtenValue = value;
    this.#writtenAt = now;
    this.deps.write({ ...poolDemandKey(shard), value }, () => {
      if (this.#writtenValue === value) this.offers.confirmStored(clock.now());
    });
  }

  /**
   * Returns the test for occurrences that can no longer be on time, which
   * count for less in the demand. No occurrence counts as late for
   * {@link lateWorkCountsMs} once offers have been unclaimed for
   * {@link unclaimedMs}: no other pool needs the hosts.
   */
  #lateFilter(now: number): IsLate {
    if (this.offers.offered.length === 0) this.#offeringSince = undefined;
    else this.#offeringSince ??= now;
    const since = this.#offeringSince;
    if (since !== undefined && now - since > unclaimedMs) {
      this.#lateWorkCountsUntil = now + lateWorkCountsMs;
    }
    if (now < this.#lateWorkCountsUntil) return () => false;
    return this.deps.createLateFilter(this.deps.clock.wall());
  }

  /**
   * Returns the endpoints that must stay open for waiting tasks; none if all do,
   * as no more than `want` are open.
   */
  #neededEndpoints(
    { jobs, endpoints }: Pick<PoolReport, "jobs" | "endpoints">,
    want: number,
    isLate: IsLate,
  ): ReadonlySet<string> {
    const open = endpoints.filter((each) => each.isOpen);
    if (open.length <= want) return new Set();
    const offered = new Set(this.offers.offered);
    return neededEndpoints({ jobs, endpoints: open, offered, isLate, want });
  }

  /**
   * Logs the demand when the number of wanted hosts has changed, and when the
   * first endpoint closes or none does any more.
   */
  #logChange(
    { want, relocationHosts, endpoints, arrivingCpuMillis, usedShare }:
      LoggedDemand,
  ): void {
    const { offered, closingCount } = this.offers;
    const isClosing = closingCount > 0;
    if (want === this.#loggedWant && isClosing === this.#loggedClosing) return;
    this.#loggedWant = want;
    this.#loggedClosing = isClosing;
    this.deps.log.decision("pool-demand", {
      shard: this.deps.shard,
      want,
      relocationHosts,
      endpoints: endpoints.filter((each) => each.isOpen).length,
      offered: offered.length,
      closing: closingCount,
      usedShare: Math.round(usedShare * 100) / 100,
      arrivingCpu: Math.round(arrivingCpuMillis),
    });
  }
}
