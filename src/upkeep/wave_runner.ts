/** Runs the operator's maintenance waves and tracks their progress. */
import * as v from "valibot";
import type { Clock } from "../clock/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import { parseJson, type RowPut, type StoreRow } from "../store/index.ts";
import type { ProviderHost } from "../capacity/index.ts";
import type { HostOrderOutcome } from "./host_control.ts";
import { waveRowKey } from "./rows.ts";
import type { VacateTracker } from "./vacate_tracker.ts";
import {
  isWaveComplete,
  planWaveActions,
  type RequestedWave,
  type WaveProgress,
} from "./wave_plan.ts";

/**
 * Minimum time between taking a host down and requesting the listing that shows
 * it up again, in ms. An earlier listing may not yet reflect the order.
 */
const minDownMs = 1_000;

/** Schema of a wave's progress row. */
const waveProgressSchema = v.object({
  startedAt: v.number(),
  begun: v.array(v.string()),
  ended: v.array(v.string()),
});

/** Source of the requested waves, to which their state is published. */
export interface WaveRequests {
  /** Waves requested by the operator. */
  waves(): readonly RequestedWave[];
  /** Publishes a wave's state to the operator; false if the write failed. */
  publish(wave: string, state: "running" | "completed"): Promise<boolean>;
}

/**
 * Takes one host down for its maintenance; returns undefined if the order was
 * not sent.
 */
export type TakeHostDown = (
  host: ProviderHost,
  wave: string,
) => Promise<HostOrderOutcome | undefined>;

/** The provider's host listing. */
export interface HostListing {
  /** Hosts by name. */
  readonly hosts: ReadonlyMap<string, ProviderHost>;
  /** Monotonic time at which it was requested, in ms. */
  readonly requestedAt: number;
}

/** Dependencies of the wave runner. */
export interface WaveRunnerDependencies {
  readonly requestedWaves: WaveRequests;
  readonly vacates: VacateTracker;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Advances waves and publishes their state. */
export class WaveRunner {
  readonly #progress = new Map<string, WaveProgress>();
  /** Row values known to be stored, by wave. */
  readonly #rows = new Map<string, string>();
  readonly #published = new Map<string, "running" | "completed">();
  /** Monotonic time at which a host was taken down. */
  readonly #downSince = new Map<string, number>();
  /**
   * Endpoints of the hosts to which an order was sent that had no answer, by
   * wave and host.
   */
  readonly #unresolved = new Map<string, Map<string, string>>();

  constructor(private readonly deps: WaveRunnerDependencies) {}

  /** Loads the progress that a previous owner stored. */
  load(rows: readonly StoreRow[]): void {
    for (const row of rows) {
      const progress = parseJson(waveProgressSchema, row.value);
      if (progress === undefined) continue;
      this.#progress.set(row.key, progress);
      this.#rows.set(row.key, row.value);
    }
  }

  /** Requested waves that are not yet published as completed. */
  openWaves(): readonly RequestedWave[] {
    return this.deps.requestedWaves.waves().filter((wave) =>
      this.#published.get(wave.id) !== "completed"
    );
  }

  /** Hosts that a wave still has to take down. */
  pendingHosts(): ReadonlySet<string> {
    const pending = this.openWaves().flatMap((wave) => {
      const begun = new Set(this.#progress.get(wave.id)?.begun);
      return wave.hosts.filter((host) => !begun.has(host));
    });
    return new Set(pending);
  }

  /**
   * Plans and executes the next actions of a wave. Returns the endpoints whose
   * host waits for its turn.
   */
  async advance(
    wave: RequestedWave,
    listing: HostListing,
    empty: ReadonlySet<string>,
    takeDown: TakeHostDown,
  ): Promise<readonly string[]> {
    const { clock, vacates, log } = this.deps;
    const previous = this.#progress.get(wave.id) ??
      { startedAt: clock.wall(), begun: [], ended: [] };
    const progress = this.#recordEnded(wave, previous, listing);
    const unresolved = this.#unresolvedOrders(wave, listing);
    const actions = planWaveActions(wave, progress, {
      listed: listing.hosts,
      unresolved: new Set(unresolved.keys()),
      empty,
      vacatingSince: (endpoint) => vacates.vacatingSince(endpoint),
      now: clock.wall(),
    });
    const begun: string[] = [];
    for (const host of actions.takeDown) {
      const outcome = await takeDown(host, wave.id);
      if (outcome?.kind === "unknown") {
        unresolved.set(host.host, host.endpoint);
      }
      if (outcome?.kind !== "done") break;
      unresolved.delete(host.host);
      this.#downSince.set(host.host, clock.now());
      vacates.recordOrder(host.endpoint, clock.wall());
      begun.push(host.host);
    }
    for (const id of actions.vacate) vacates.requestVacate(id, clock.wall());
    if (actions.vacate.length > 0) {
      const endpoints = actions.vacate.join(",");
      log.decision("hosts-vacating", {
        wave: wave.id,
        endpoints,
        waiting: actions.planned.length,
      });
    }
    const next = { ...progress, begun: [...progress.begun, ...begun] };
    this.#progress.set(wave.id, next);
    return actions.planned;
  }

  /** Progress rows that have changed since they were stored. */
  pendingPuts(): readonly RowPut[] {
    const puts: RowPut[] = [];
    for (const [id, progress] of this.#progress) {
      const value = JSON.stringify(progress);
      if (this.#rows.get(id) !== value) puts.push({ ...waveRowKey(id), value });
    }
    return puts;
  }

  /** Records that rows were committed, and publishes the waves' state. */
  async onCommitted(puts: readonly RowPut[]): Promise<void> {
    for (const { key, value } of puts) this.#rows.set(key, value);
    for (const wave of this.openWaves()) {
      const progress = this.#progress.get(wave.id);
      if (progress === undefined) continue;
      const state = isWaveComplete(wave, progress) ? "completed" : "running";
      if (this.#published.get(wave.id) === state) continue;
      if (!await this.deps.requestedWaves.publish(wave.id, state)) continue;
      this.#published.set(wave.id, state);
      this.deps.log.decision("wave-state", { wave: wave.id, state });
    }
  }

  /**
   * Orders of a wave that had no answer and may still take their host down.
   * Those whose host is not listed, or is back with another endpoint, have been
   * carried out and are removed.
   */
  #unresolvedOrders(
    { id }: RequestedWave,
    { hosts }: HostListing,
  ): Map<string, string> {
    const orders = this.#unresolved.get(id) ?? new Map<string, string>();
    this.#unresolved.set(id, orders);
    for (const [name, endpoint] of orders) {
      const host = hosts.get(name);
      const isBack = host?.state === "up" && host.endpoint !== "" &&
        host.endpoint !== endpoint;
      if (host === undefined || isBack) orders.delete(name);
    }
    return orders;
  }

  /** Adds the hosts that are up again or no longer listed to `ended`. */
  #recordEnded(
    wave: RequestedWave,
    progress: WaveProgress,
    { hosts, requestedAt }: HostListing,
  ): WaveProgress {
    const ended = new Set(progress.ended);
    for (const host of wave.hosts) {
      const downSince = this.#downSince.get(host) ?? -Infinity;
      const isBack = hosts.get(host)?.state === "up" &&
        progress.begun.includes(host) && requestedAt - downSince > minDownMs;
      if (isBack || !hosts.has(host)) ended.add(host);
    }
    return { ...progress, ended: [...ended] };
  }
}
