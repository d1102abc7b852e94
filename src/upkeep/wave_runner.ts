/** The operator's maintenance waves: their progress, and the next steps. */
import * as v from "valibot";
import type { Clock } from "../clock/index.ts";
import type { DecisionLog } from "../scheduler/index.ts";
import { parseJson, type Row, type RowPut } from "../store/index.ts";
import type { ListedHost } from "./host_control.ts";
import { waveKey } from "./rows.ts";
import type { VacateBook } from "./vacate_book.ts";
import {
  isWaveComplete,
  planWave,
  type Wave,
  type WaveProgress,
} from "./wave_plan.ts";

/** Least age of a listing's start, in ms, that shows a host to be back. */
const downAtLeastMs = 1_000;

const progressSchema = v.object({
  startedAt: v.number(),
  begun: v.array(v.string()),
  ended: v.array(v.string()),
});

/** The waves that the operator has asked for, and their published state. */
export interface WaveBoard {
  /** Waves that the operator has asked for. */
  waves(): readonly Wave[];
  /** Tells the operator; false when it could not be written. */
  publish(wave: string, state: "running" | "completed"): Promise<boolean>;
}

/** Orders one host down for its maintenance; tells whether it is. */
export type BeginMaintenance = (
  host: ListedHost,
  wave: string,
) => Promise<boolean>;

/** A listing of the hosts. */
export interface HostListing {
  readonly hosts: ReadonlyMap<string, ListedHost>;
  /** Steady time at which it was asked for, in ms. */
  readonly askedAt: number;
}

/** What the runner works with. */
export interface WaveParts {
  readonly board: WaveBoard;
  readonly vacates: VacateBook;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Runs the waves. */
export class WaveRunner {
  readonly #progress = new Map<string, WaveProgress>();
  readonly #stored = new Map<string, string>();
  readonly #published = new Map<string, "running" | "completed">();
  /** Hosts that are down, with the steady time at which they were ordered. */
  readonly #downSince = new Map<string, number>();

  constructor(private readonly parts: WaveParts) {}

  /** Takes the progress that an earlier owner stored. */
  load(rows: readonly Row[]): void {
    for (const row of rows) {
      const progress = parseJson(progressSchema, row.value);
      if (progress === undefined) continue;
      this.#progress.set(row.key, progress);
      this.#stored.set(row.key, row.value);
    }
  }

  /** Waves that are not yet published as completed. */
  open(): readonly Wave[] {
    return this.parts.board.waves().filter((wave) =>
      this.#published.get(wave.id) !== "completed"
    );
  }

  /** Hosts that a wave still has to take down. */
  pendingHosts(): ReadonlySet<string> {
    const pending = this.open().flatMap((wave) => {
      const begun = new Set(this.#progress.get(wave.id)?.begun);
      return wave.hosts.filter((host) => !begun.has(host));
    });
    return new Set(pending);
  }

  /** Takes the next steps of a wave. */
  async advance(
    wave: Wave,
    listing: HostListing,
    empty: ReadonlySet<string>,
    begin: BeginMaintenance,
  ): Promise<void> {
    const { clock, vacates, log } = this.parts;
    const known = this.#progress.get(wave.id) ??
      { startedAt: clock.wall(), begun: [], ended: [] };
    const progress = this.#noteEnded(wave, known, listing);
    const steps = planWave(wave, progress, {
      listed: listing.hosts,
      empty,
      vacatingSince: (endpoint) => vacates.since(endpoint),
      now: clock.wall(),
    });
    const begun: string[] = [];
    for (const host of steps.begin) {
      // Without a plain answer it may be down; the order is repeated.
      if (!await begin(host, wave.id)) break;
      this.#downSince.set(host.host, clock.now());
      vacates.takenAway(host.endpoint, clock.wall());
      begun.push(host.host);
    }
    for (const id of steps.vacate) vacates.empty(id, clock.wall());
    if (steps.vacate.length > 0) {
      const endpoints = steps.vacate.join(",");
      log.decision("hosts-vacating", { wave: wave.id, endpoints });
    }
    const next = { ...progress, begun: [...progress.begun, ...begun] };
    this.#progress.set(wave.id, next);
  }

  /** Rows of waves that the store lacks. */
  changes(): readonly RowPut[] {
    const puts: RowPut[] = [];
    for (const [id, progress] of this.#progress) {
      const value = JSON.stringify(progress);
      if (this.#stored.get(id) !== value) puts.push({ ...waveKey(id), value });
    }
    return puts;
  }

  /** Notes that rows were committed, and tells the operator what is so. */
  async stored(puts: readonly RowPut[]): Promise<void> {
    for (const { key, value } of puts) this.#stored.set(key, value);
    for (const wave of this.open()) {
      const progress = this.#progress.get(wave.id);
      if (progress === undefined) continue;
      const state = isWaveComplete(wave, progress) ? "completed" : "running";
      if (this.#published.get(wave.id) === state) continue;
      if (!await this.parts.board.publish(wave.id, state)) continue;
      this.#published.set(wave.id, state);
      this.parts.log.decision("wave-state", { wave: wave.id, state });
    }
  }

  #noteEnded(
    wave: Wave,
    progress: WaveProgress,
    { hosts, askedAt }: HostListing,
  ): WaveProgress {
    const ended = new Set(progress.ended);
    for (const host of wave.hosts) {
      const since = this.#downSince.get(host) ?? -Infinity;
      const isBack = hosts.get(host)?.state === "up" &&
        progress.begun.includes(host) && askedAt - since > downAtLeastMs;
      if (isBack || !hosts.has(host)) ended.add(host);
    }
    return { ...progress, ended: [...ended] };
  }
}
