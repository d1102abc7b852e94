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
import { ArrivalRate, hostsWanted } from "./demand.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import { HostOffers } from "./host_offers.ts";
import type { BookedJob } from "./job_book.ts";

/** Least time between two writes of the demand, in ms. */
const demandPeriodMs = 180;

/** Age up to which a job that is read counts as arriving, in ms. */
const freshJobMs = 1_500;

/** What the reporter works with. */
export interface DemandParts {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Writes a row with the next commit, and calls back once it is stored. */
  readonly write: (row: RowPut, stored: () => void) => void;
}

/** Reports the demand of one shard. */
export class DemandReporter {
  readonly offers = new HostOffers();
  readonly #arrivals = new ArrivalRate();
  #written = "";
  #writtenAt = -Infinity;
  #want = 0;

  constructor(private readonly parts: DemandParts) {}

  /** Withdraws what an earlier owner offered; `value` is the stored row's. */
  inherit(value: string): void {
    const left = parseJson(poolDemandSchema, value);
    this.offers.inherit(left?.offered ?? []);
  }

  /** Notes a job that was read from the inbox. */
  arrived(spec: JobSpec): void {
    const { clock } = this.parts;
    const age = clock.wall() - spec.acceptedAt;
    if (age < freshJobMs) this.#arrivals.arrived(spec, clock.now());
  }

  /** Notes how long a task of a queue took. */
  ran(queue: string, ms: number): void {
    this.#arrivals.ran(queue, ms);
  }

  /** Mean run time of a queue's tasks in ms; undefined before the first. */
  runMs(queue: string): number | undefined {
    return this.#arrivals.runMs(queue);
  }

  /** Works out the demand, and writes it when it has changed. */
  report(
    jobs: readonly BookedJob[],
    sessions: readonly EndpointSession[],
  ): void {
    const { clock, shard } = this.parts;
    const now = clock.now();
    if (now - this.#writtenAt < demandPeriodMs) return;
    const arriving = this.#arrivals.cpuMillis(now);
    const want = hostsWanted(jobs, sessions, arriving);
    this.offers.adjust(sessions, want);
    this.#tell(want, sessions, arriving);
    const demand: PoolDemand = { want, offered: [...this.offers.offered] };
    const value = JSON.stringify(demand);
    if (value === this.#written) return;
    this.#written = value;
    this.#writtenAt = now;
    this.parts.write({ ...demandKey(shard), value }, () => {
      if (this.#written === value) this.offers.stored(clock.now());
    });
  }

  #tell(
    want: number,
    sessions: readonly EndpointSession[],
    arriving: number,
  ): void {
    if (want === this.#want) return;
    this.#want = want;
    this.parts.log.decision("pool-demand", {
      shard: this.parts.shard,
      want,
      endpoints: sessions.filter((s) => s.isOpen).length,
      offered: this.offers.offered.length,
      arrivingCpu: Math.round(arriving),
    });
  }
}
