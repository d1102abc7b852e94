/**
 * Carries out the operator's maintenance waves; one process, the fleet's
 * owner, runs it under the fleet's lease.
 */
import * as v from "valibot";
import type { Clock } from "../clock/index.ts";
import type { ShardLease } from "../cluster/index.ts";
import type { DecisionLog } from "../scheduler/index.ts";
import { parseJson, type RowPut, type Store } from "../store/index.ts";
import type { HostControl, ListedHost } from "./host_control.ts";
import {
  encodeVacate,
  fleetShard,
  vacateKey,
  type VacateState,
  vacateTable,
  waveKey,
} from "./rows.ts";
import {
  isWaveComplete,
  planWave,
  type Wave,
  type WaveProgress,
} from "./wave_plan.ts";

/** Time between two passes while a wave is under way, in ms. */
const activeMs = 300;

/** Time between two passes otherwise, in ms. */
const idleMs = 1_000;

/**
 * Age of the fleet's last commit from which nothing is ordered, in ms: an
 * owner that was paused must not order beside its successor.
 */
const orderFreshnessMs = 1_000;

/** Least age of a listing's start, in ms, that shows a host to be back. */
const downAtLeastMs = 1_000;

/**
 * Time for which an endpoint whose host was taken down is remembered, in ms:
 * longer than its registration outlives it.
 */
const forgetEndpointMs = 15_000;

/** Endpoints whose row of the vacate table changes. */
interface EndpointChanges {
  readonly emptying: readonly string[];
  readonly down: readonly string[];
  readonly gone: readonly string[];
}

function vacatePut(endpoint: string, state: VacateState): RowPut {
  return { ...vacateKey(endpoint), value: encodeVacate(state) };
}

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

/** What the keeper works with. */
export interface WaveParts {
  readonly entry: string;
  readonly lease: ShardLease;
  readonly store: Store;
  readonly control: HostControl;
  readonly board: WaveBoard;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /**
   * Time after the take-over before the first order, in ms, so that orders of
   * two holders for one host never follow closely.
   */
  readonly handoverMs: number;
}

/** Carries out waves. */
export class WaveKeeper {
  readonly #startAt: number;
  readonly #progress = new Map<string, WaveProgress>();
  readonly #published = new Map<string, "running" | "completed">();
  /** Endpoints that are being emptied, with the wall-clock time since. */
  readonly #vacating = new Map<string, number>();
  /** Hosts that are down, with the steady time at which they were ordered. */
  readonly #downSince = new Map<string, number>();
  /** Endpoints whose host was taken down, until the store says so. */
  readonly #unstoredDown = new Set<string>();
  /** Steady time since which no host runs an endpoint. */
  readonly #goneSince = new Map<string, number>();
  /** Progress of the waves as the store holds it. */
  readonly #stored = new Map<string, string>();
  #isLoaded = false;

  constructor(private readonly parts: WaveParts) {
    const { lease, clock, handoverMs } = parts;
    this.#startAt = clock.now() + (lease.term > 1 ? handoverMs : 0);
  }

  /** One pass; returns the time until the next, in ms. */
  async pass(): Promise<number> {
    const { lease, board } = this.parts;
    if (lease.isLost) return idleMs;
    if (!this.#isLoaded && !await this.#load()) return activeMs;
    const open = board.waves().filter((wave) =>
      this.#published.get(wave.id) !== "completed"
    );
    if (open.length === 0) {
      if (lease.ageMs > idleMs) await lease.commit([], []);
      return idleMs;
    }
    const listedAt = this.parts.clock.now();
    const hosts = await this.parts.control.list();
    if (hosts.err) {
      this.parts.log.decision("host-list-failed", { message: hosts.val });
      return activeMs;
    }
    const listed = new Map(hosts.val.map((host) => [host.host, host]));
    for (const wave of open) await this.#advance(wave, listed, listedAt);
    return activeMs;
  }

  async #load(): Promise<boolean> {
    const { store, clock } = this.parts;
    const [waves, vacating] = await Promise.all([
      store.range({ table: waveKey("").table, partition: fleetShard }),
      store.range({ table: vacateTable, partition: fleetShard }),
    ]);
    if (waves.err || vacating.err) return false;
    for (const row of waves.val.rows) {
      const progress = parseJson(progressSchema, row.value);
      if (progress !== undefined) this.#progress.set(row.key, progress);
    }
    for (const row of vacating.val.rows) {
      this.#vacating.set(row.key, clock.wall());
    }
    this.#isLoaded = true;
    return true;
  }

  async #advance(
    wave: Wave,
    listed: ReadonlyMap<string, ListedHost>,
    listedAt: number,
  ): Promise<void> {
    const { clock } = this.parts;
    const before = this.#progress.get(wave.id) ??
      { startedAt: clock.wall(), begun: [], ended: [] };
    const progress = this.#noteEnded(wave, before, listed, listedAt);
    this.#progress.set(wave.id, progress);
    const empty = await this.#emptyEndpoints(wave, listed);
    const steps = planWave(wave, progress, {
      listed,
      empty,
      vacating: this.#vacating,
      now: clock.wall(),
    });
    const begun = await this.#begin(wave, steps.begin);
    const next = { ...progress, begun: [...progress.begun, ...begun] };
    for (const host of begun) {
      const endpoint = listed.get(host)?.endpoint ?? "";
      if (endpoint !== "") this.#unstoredDown.add(endpoint);
    }
    const isStored = await this.#store(wave, next, {
      emptying: steps.vacate,
      down: [...this.#unstoredDown],
      gone: this.#gone(listed),
    });
    if (isStored) await this.#publish(wave, next);
  }

  #noteEnded(
    wave: Wave,
    progress: WaveProgress,
    listed: ReadonlyMap<string, ListedHost>,
    listedAt: number,
  ): WaveProgress {
    const ended = new Set(progress.ended);
    for (const host of wave.hosts) {
      const since = this.#downSince.get(host) ?? -Infinity;
      const isBack = listed.get(host)?.state === "up" &&
        progress.begun.includes(host) && listedAt - since > downAtLeastMs;
      if (isBack || !listed.has(host)) ended.add(host);
    }
    return { ...progress, ended: [...ended] };
  }

  /** Endpoints of the wave that were reported empty since they were asked. */
  async #emptyEndpoints(
    wave: Wave,
    listed: ReadonlyMap<string, ListedHost>,
  ): Promise<ReadonlySet<string>> {
    const pools = new Set<string>();
    for (const host of wave.hosts) {
      const known = listed.get(host);
      if (known && this.#vacating.has(known.endpoint)) pools.add(known.pool);
    }
    const reads = await Promise.all(
      [...pools].map((pool) =>
        this.parts.store.range({ table: "vacated", partition: pool })
      ),
    );
    const keys = reads.flatMap((read) =>
      read.ok ? read.val.rows.map((row) => row.key) : []
    );
    return new Set(keys.filter((id) => this.#vacating.has(id)));
  }

  async #begin(
    wave: Wave,
    hosts: readonly string[],
  ): Promise<readonly string[]> {
    const { clock, control, entry, lease, log } = this.parts;
    const begun: string[] = [];
    for (const host of hosts) {
      if (clock.now() < this.#startAt) break;
      if (lease.ageMs > orderFreshnessMs) {
        const renewed = await lease.commit([], []);
        if (renewed.err) break;
      }
      const holder = { entry, term: lease.term };
      const outcome = await control.maintain(host, wave.id, holder);
      const message = outcome.kind === "rejected"
        ? outcome.reason
        : outcome.kind === "unknown"
        ? outcome.message
        : "";
      log.decision("host-maintenance", {
        wave: wave.id,
        host,
        term: lease.term,
        outcome: outcome.kind,
        message,
      });
      // Without an answer it may be down; the order is repeated.
      if (outcome.kind !== "done") break;
      this.#downSince.set(host, clock.now());
      begun.push(host);
    }
    return begun;
  }

  async #store(
    wave: Wave,
    progress: WaveProgress,
    endpoints: EndpointChanges,
  ): Promise<boolean> {
    const { lease, clock, log } = this.parts;
    this.#progress.set(wave.id, progress);
    const { emptying, down, gone } = endpoints;
    const value = JSON.stringify(progress);
    const isSame = value === this.#stored.get(wave.id) &&
      emptying.length + down.length + gone.length === 0;
    if (isSame && lease.ageMs < idleMs) return true;
    const puts: RowPut[] = [
      { ...waveKey(wave.id), value },
      ...emptying.map((id) => vacatePut(id, "emptying")),
      ...down.map((id) => vacatePut(id, "down")),
    ];
    const done = await lease.commit(puts, gone.map(vacateKey));
    if (done.err) {
      const { message } = done.val;
      log.decision("wave-not-stored", { wave: wave.id, message });
      return false;
    }
    this.#stored.set(wave.id, value);
    for (const id of [...emptying, ...down]) {
      if (!this.#vacating.has(id)) this.#vacating.set(id, clock.wall());
    }
    for (const id of down) this.#unstoredDown.delete(id);
    for (const id of gone) this.#vacating.delete(id);
    if (emptying.length > 0) {
      const list = emptying.join(",");
      log.decision("hosts-vacating", { wave: wave.id, endpoints: list });
    }
    return true;
  }

  /** Endpoints that no host has run for a while. */
  #gone(listed: ReadonlyMap<string, ListedHost>): readonly string[] {
    const now = this.parts.clock.now();
    const running = new Set([...listed.values()].map((h) => h.endpoint));
    const gone: string[] = [];
    for (const id of this.#vacating.keys()) {
      const since = this.#goneSince.get(id) ?? now;
      if (running.has(id)) this.#goneSince.delete(id);
      else this.#goneSince.set(id, since);
      if (!running.has(id) && now - since > forgetEndpointMs) gone.push(id);
    }
    return gone;
  }

  async #publish(wave: Wave, progress: WaveProgress): Promise<void> {
    const state = isWaveComplete(wave, progress) ? "completed" : "running";
    if (this.#published.get(wave.id) === state) return;
    if (!await this.parts.board.publish(wave.id, state)) return;
    this.#published.set(wave.id, state);
    this.parts.log.decision("wave-state", { wave: wave.id, state });
  }
}
