/**
 * Reports a shard's demand for hosts to the owner of the fleet: how many hosts
 * it wants, which ones it offers to other pools, and which are unresponsive.
 */
import type { JobSpec } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import { parseJson, type RowPut } from "../store/index.ts";
import {
  type PoolDemand,
  poolDemandKey,
  poolDemandSchema,
} from "../upkeep/index.ts";
import type { DecisionLog } from "./decision_log.ts";
import { ArrivalRate } from "./arrival_rate.ts";
import { computeHostDemand, type IsLate } from "./demand.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import { HostOffers } from "./host_offers.ts";
import type { TrackedJob } from "./job_registry.ts";
import { occurrenceKey, rankOfJob } from "./job_rank.ts";
import { onTimeTier } from "./task_order.ts";
import type { RunTimes } from "./run_times.ts";

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

/** Dependencies of a {@link DemandReporter}. */
export interface DemandReporterDependencies {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly runTimes: RunTimes;
  /**
   * Writes a row in the next commit, and calls `onStored` once it is committed.
   */
  readonly write: (row: RowPut, onStored: () => void) => void;
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
  /**
   * Monotonic time in ms since which at least one endpoint has been offered.
   */
  #offeringSince: number | undefined;

  constructor(private readonly deps: DemandReporterDependencies) {
    this.#arrivals = new ArrivalRate(deps.runTimes);
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
   * @param minHosts Hosts that are needed whatever the size of the jobs.
   */
  report(
    jobs: readonly TrackedJob[],
    sessions: readonly EndpointSession[],
    minHosts: number,
  ): void {
    const { clock, shard } = this.deps;
    const now = clock.now();
    if (now - this.#writtenAt < minWriteIntervalMs) return;
    const arrivingCpuMillis = this.#arrivals.forecastCpuMillis(now);
    const isLate = this.#lateFilter(now);
    const hostsForJobs = computeHostDemand(
      jobs,
      sessions,
      arrivingCpuMillis,
      isLate,
    );
    const want = Math.max(hostsForJobs, minHosts);
    this.offers.adjust(sessions, want);
    this.#logChange(want, sessions, arrivingCpuMillis);
    const silent = sessions
      .filter((s) => s.isSilentFor(unresponsiveMs, now))
      .map((s) => s.endpoint.id);
    const offered = [...this.offers.offered];
    const demand: PoolDemand = { want, offered, silent };
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
   * count for less in the demand. No occurrence counts as late while offers
   * have been unclaimed for {@link unclaimedMs}: no other pool needs the hosts.
   */
  #lateFilter(now: number): IsLate {
    if (this.offers.offered.length === 0) this.#offeringSince = undefined;
    else this.#offeringSince ??= now;
    const since = this.#offeringSince;
    if (since !== undefined && now - since > unclaimedMs) return () => false;
    const wall = this.deps.clock.wall();
    const cache = new Map<string, boolean>();
    return (job, occurrence) => {
      const key = occurrenceKey(job.spec.id, occurrence);
      const cached = cache.get(key);
      if (cached !== undefined) return cached;
      const { tier } = rankOfJob(job, occurrence, wall, this.deps.runTimes);
      cache.set(key, tier > onTimeTier);
      return tier > onTimeTier;
    };
  }

  /** Logs the demand when the number of wanted hosts has changed. */
  #logChange(
    want: number,
    sessions: readonly EndpointSession[],
    arrivingCpuMillis: number,
  ): void {
    if (want === this.#loggedWant) return;
    this.#loggedWant = want;
    this.deps.log.decision("pool-demand", {
      shard: this.deps.shard,
      want,
      endpoints: sessions.filter((s) => s.isOpen).length,
      offered: this.offers.offered.length,
      arrivingCpu: Math.round(arrivingCpuMillis),
    });
  }
}
