/**
 * An endpoint over its lives: its gate, its row in the store, and the faults that
 * it meets.
 */
import { heartbeatMs, maxClockDrift, missedHeartbeats } from "./bounds.ts";
import { Gate } from "./gate.ts";
import {
  type EndpointIdentity,
  EndpointLife,
  type LifeDependencies,
} from "./life.ts";
import { pause } from "./pause.ts";
import type { Disturbance, SeenLife } from "./play_record.ts";
import type { StoreStandIn } from "./store.ts";

/** Time that the store waits for a heartbeat before it removes a row, in ms. */
const rowLastsMs = heartbeatMs * missedHeartbeats;

/** Slots that an endpoint tells of; they mean nothing for tasks. */
const slots = 8;

/** What an endpoint uses of the play. */
export interface EndpointDependencies extends LifeDependencies {
  readonly store: StoreStandIn;
  /** Draws a number in [0, 1). */
  readonly random: () => number;
}

/** An endpoint that starts again under its id. */
export class Endpoint {
  readonly #gate = new Gate();
  #address = "";
  #life: EndpointLife | undefined;
  #seenLife: SeenLife | undefined;
  /** The current cut; undefined if there is none. */
  #cut: Disturbance | undefined;
  #lastHeartbeatAt = 0;
  #hasRow = false;
  #heartbeat: NodeJS.Timeout | undefined;
  #isOver = false;

  constructor(
    readonly identity: EndpointIdentity,
    private readonly deps: EndpointDependencies,
  ) {}

  /** Starts its first life, and writes its row. */
  async start(): Promise<void> {
    this.#address = await this.#gate.listen();
    await this.#beginLife();
    this.#writeRow();
    this.#heartbeat = setInterval(() => this.#beat(), heartbeatMs);
  }

  /** Crashes; the gate is dark until the endpoint returns. */
  crash(): Disturbance {
    this.#gate.darken();
    this.#endLife();
    return this.#disturb("dark");
  }

  /** Starts its next life, which gets the orders that have waited. */
  async revive(dark: Disturbance): Promise<void> {
    if (this.#isOver) return;
    await this.#beginLife();
    dark.to = this.deps.clock.now;
  }

  /**
   * Writes the row of the current life `afterMs` later, or once a cut that has
   * begun until then is over.
   */
  async register(afterMs: number): Promise<void> {
    await pause(afterMs);
    if (this.#cut === undefined) this.#writeRow();
  }

  /** Cuts the endpoint off from entries and store; it runs on. */
  cut(): void {
    if (this.#isOver || this.#cut !== undefined) return;
    this.#gate.cut();
    this.#cut = this.#disturb("cut");
  }

  /** Ends the cut; the row is written again. */
  heal(): void {
    if (this.#cut === undefined) return;
    this.#cut.to = this.deps.clock.now;
    this.#cut = undefined;
    if (this.#isOver) return;
    this.#gate.heal();
    this.#writeRow();
  }

  /** Ends the endpoint for good. */
  leave(): void {
    this.#isOver = true;
    clearInterval(this.#heartbeat);
    this.#endLife();
    this.#gate.close();
    this.deps.store.remove("servers", this.identity.id);
  }

  async #beginLife(): Promise<void> {
    const { clock, record, random } = this.deps;
    const clockRate = 1 - random() * maxClockDrift;
    const life = new EndpointLife(this.identity, clockRate, this.deps);
    this.#life = life;
    const address = await life.listen();
    const { id, pool, zone, capacity } = this.identity;
    this.#seenLife = {
      endpoint: id,
      pool,
      zone,
      capacity,
      life: life.born,
      from: clock.now,
    };
    record.lives.push(this.#seenLife);
    this.#gate.open(address);
  }

  #endLife(): void {
    this.#life?.terminate();
    this.#life = undefined;
    if (this.#seenLife !== undefined) this.#seenLife.to = this.deps.clock.now;
    this.#seenLife = undefined;
  }

  #disturb(what: "dark" | "cut"): Disturbance {
    const { clock, record } = this.deps;
    const seen = { what, who: this.identity.id, from: clock.now };
    record.disturbances.push(seen);
    return seen;
  }

  /** Sends a heartbeat; or lets the row expire, if none has come for long. */
  #beat(): void {
    const { clock, store } = this.deps;
    const isHeard = this.#life !== undefined && this.#cut === undefined;
    if (isHeard) {
      this.#lastHeartbeatAt = clock.now;
      if (!this.#hasRow) this.#writeRow();
      return;
    }
    const isExpired = clock.now - this.#lastHeartbeatAt >= rowLastsMs;
    if (!isExpired || !this.#hasRow) return;
    store.remove("servers", this.identity.id);
    this.#hasRow = false;
  }

  #writeRow(): void {
    if (this.#life === undefined || this.#isOver) return;
    const { id, pool, zone, machine, labels, capacity } = this.identity;
    this.deps.store.put("servers", id, {
      backend: pool,
      addr: this.#address,
      zone,
      version: "v1",
      slots,
      state: "ready",
      coldLeftMs: 0,
      seq: 1,
      born: this.#life.born,
      machine,
      labels,
      capacity: { ...capacity, gpu: 0 },
    });
    this.#hasRow = true;
    this.#lastHeartbeatAt = this.deps.clock.now;
  }
}
