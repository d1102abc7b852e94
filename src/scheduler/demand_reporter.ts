/** Tells the fleet's owner how many hosts a shard wants, and which it offers. */
import type { JobSpec } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import { parseJson, type RowPut } from "../store/index.ts";
import {
  demandKey,
  type PoolDemand,
  poolDemandSchema,
} from "../upkeep/index.ts";
import type { DecisionLog } from "./decision_log.ts";
import { ArrivalRate } from "./arrival_rate.ts";
import { hostsWanted, type IsLate } from "./demand.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import { HostOffers } from "./host_offers.ts";
import type { BookedJob } from "./job_book.ts";
import { occurrenceKey, rankOfJob } from "./job_rank.ts";
import { onTimeTier } from "./order.ts";
import type { RunTimes } from "./run_times.ts";

/** Least time between two writes of the demand, in ms. */
const minWriteIntervalMs = 180;

/** Age up to which a job that is read counts as arriving, in ms. */
const maxArrivalAgeMs = 1_500;

/**
 * Time without an answer after which an endpoint's host is replaced, in ms: a
 * single lost answer must not cost a move.
 */
const unresponsiveMs = 600;

/** Time after which an offer that nobody takes is not needed, in ms. */
const unclaimedMs = 1_200;

/** What the reporter works with. */
export interface DemandReporterParts {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly runTimes: RunTimes;
  /** Writes a row with the next commit, and calls back once it is stored. */
  readonly write: (row: RowPut, stored: () => void) => void;
}

/** Reports the demand of one shard. */
export class DemandReporter {
  readonly offers = new HostOffers();
  readonly #arrivals: ArrivalRate;
  #writtenValue = "";
  #writtenAt = -Infinity;
  #loggedWant = 0;
  /** Steady time since which endpoints are offered without a break. */
  #offeringSince: number | undefined;

  constructor(private readonly parts: DemandReporterParts) {
    this.#arrivals = new ArrivalRate(parts.runTimes);
  }

  /** Withdraws what an earlier owner offered; `value` is the stored row's. */
  withdrawInherited(value: string): void {
    const stored = parseJson(poolDemandSchema, value);
    this.offers.inherit(stored?.offered ?? []);
  }

  /** Notes a job that was read from the inbox. */
  jobArrived(spec: JobSpec): void {
    const { clock } = this.parts;
    const age = clock.wall() - spec.acceptedAt;
    if (age < maxArrivalAgeMs) this.#arrivals.arrived(spec, clock.now());
  }

  /** Whether too few jobs arrive to make a rate. */
  get isQuiet(): boolean {
    return this.#arrivals.cpuMillis(this.parts.clock.now()) === 0;
  }

  /**
   * Works out the demand, and writes it when it has changed; `least` is a
   * number of hosts that is needed whatever the jobs' sizes.
   */
  report(
    jobs: readonly BookedJob[],
    sessions: readonly EndpointSession[],
    minHosts: number,
  ): void {
    const { clock, shard } = this.parts;
    const now = clock.now();
    if (now - this.#writtenAt < minWriteIntervalMs) return;
    const arrivingCpuMillis = this.#arrivals.cpuMillis(now);
    const isLate = this.#lateFilter(now);
    const bySize = hostsWanted(jobs, sessions, arrivingCpuMillis, isLate);
    const want = Math.max(bySize, minHosts);
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
    this.parts.write({ ...demandKey(shard), value }, () => {
      if (this.#writtenValue === value) this.offers.stored(clock.now());
    });
  }

  /**
   * Late work counts in full when nobody has taken what is offered for a
   * while: then no other pool needs the hosts.
   */
  #lateFilter(now: number): IsLate {
    if (this.offers.offered.length === 0) this.#offeringSince = undefined;
    else this.#offeringSince ??= now;
    const since = this.#offeringSince;
    if (since !== undefined && now - since > unclaimedMs) return () => false;
    const wall = this.parts.clock.wall();
    const cache = new Map<string, boolean>();
    return (job, occurrence) => {
      const key = occurrenceKey(job.spec.id, occurrence);
      const cached = cache.get(key);
      if (cached !== undefined) return cached;
      const { tier } = rankOfJob(job, occurrence, wall, this.parts.runTimes);
      cache.set(key, tier > onTimeTier);
      return tier > onTimeTier;
    };
  }

  #logChange(
    want: number,
    sessions: readonly EndpointSession[],
    arrivingCpuMillis: number,
  ): void {
    if (want === this.#loggedWant) return;
    this.#loggedWant = want;
    this.parts.log.decision("pool-demand", {
      shard: this.parts.shard,
      want,
      endpoints: sessions.filter((s) => s.isOpen).length,
      offered: this.offers.offered.length,
      arrivingCpu: Math.round(arrivingCpuMillis),
    });
  }
}
