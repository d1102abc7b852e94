/**
 * Model of the hosts, the endpoints that run on them, and the orders that move
 * hosts or take them down for maintenance.
 */
import type { ProviderHost } from "../src/capacity/index.ts";
import type { TaskEndpoint } from "../src/endpoint/index.ts";
import type {
  HostControl,
  HostOrderOutcome,
  OrderSender,
} from "../src/upkeep/index.ts";
import { Err, Ok, type Result } from "ts-results";
import { type EndpointEnvironment, ModelEndpoint } from "./model_endpoint.ts";
import { ModelNetwork } from "./model_orders.ts";
import type {
  ForeignRowKind,
  ModelRegistrations,
} from "./model_registrations.ts";
import { poolNames } from "./pools.ts";
import type { ProcessClock } from "./virtual_clock.ts";

/** Time for which a host is down when it moves to another pool, in ms. */
const moveDurationMs = 1_500;

/** Time for which a host is down for maintenance, in ms. */
const maintenanceDurationMs = 2_000;

/**
 * Longest time from the restart of an endpoint under its id until its row shows
 * it, in ms. Until then the row is that of the earlier incarnation.
 */
const maxRegistrationDelayMs = 500;

/** A host and the endpoint that runs on it, if any. */
export interface ModelHost {
  /** Name of the host and address of its endpoint. */
  readonly host: string;
  pool: string;
  state: ProviderHost["state"];
  endpoint: ModelEndpoint | undefined;
}

/** All hosts of a simulation. Host indexes are taken modulo their number. */
export class ModelHosts {
  readonly list: readonly ModelHost[];
  readonly network: ModelNetwork;
  /** Whether the provider lists no hosts, so that none is moved. */
  isProviderAway = false;
  #endpointCount = 0;

  constructor(
    hostsPerPool: number,
    private readonly environment: EndpointEnvironment,
    private readonly registrations: ModelRegistrations,
    private readonly random: () => number,
  ) {
    this.list = poolNames.flatMap((pool) =>
      Array.from({ length: hostsPerPool }, (_, i): ModelHost => (
        { host: `${pool}-${i}`, pool, state: "up", endpoint: undefined }
      ))
    );
    this.network = new ModelNetwork(environment.clock, random, (address) => {
      const endpoint = this.list.find((h) => h.host === address)?.endpoint;
      return endpoint?.isUp ? endpoint : undefined;
    });
    for (const host of this.list) this.#bootHost(host);
  }

  /** Whether a long-running task is available on any host. */
  isAvailable(task: string): boolean {
    return this.list.some((h) => h.endpoint?.isAvailable(task));
  }

  /** Crashes a host; it boots again with a new endpoint after `downMs`. */
  crash(index: number, downMs: number): void {
    const host = this.#at(index);
    const endpoint = this.#takeDown(host, "down");
    if (endpoint === undefined) return;
    this.environment.clock.after(downMs, () => {
      this.registrations.unregister(endpoint.info);
      this.#bootHost(host);
    });
  }

  /**
   * Crashes an endpoint, which starts again under its id and at its address
   * after `downMs`. Its row changes only some time after that. Without
   * `isDark`, open connections break at once; else they fall silent.
   */
  restart(index: number, downMs: number, isDark = false): void {
    const host = this.#at(index);
    if (isDark && host.endpoint !== undefined) host.endpoint.isIsolated = true;
    const endpoint = this.#takeDown(host, "down");
    if (endpoint === undefined) return;
    this.environment.clock.after(downMs, () => {
      this.#bootEndpoint(host, endpoint.info.id);
      const delayMs = this.random() * maxRegistrationDelayMs;
      this.environment.clock.after(delayMs, () => this.#writeOwnRow(host));
    });
  }

  /**
   * Disconnects the endpoint of a host for `downMs` and removes its
   * registration; its tasks keep running.
   */
  isolate(index: number, downMs: number): void {
    const host = this.#at(index);
    const { endpoint } = host;
    if (endpoint === undefined) return;
    endpoint.isIsolated = true;
    this.registrations.unregister(endpoint.info);
    this.environment.clock.after(downMs, () => {
      endpoint.isIsolated = false;
      endpoint.deliverPending();
      this.#writeOwnRow(host);
    });
  }

  /**
   * Disconnects the endpoint of a host from the entries and the store for
   * `downMs`. Its row stays as it is meanwhile: an endpoint that has restarted
   * and has not written its row yet writes it when the cut ends.
   */
  disconnect(index: number, downMs: number): void {
    const host = this.#at(index);
    const { endpoint } = host;
    if (endpoint === undefined) return;
    endpoint.isDisconnected = true;
    this.environment.clock.after(downMs, () => {
      endpoint.isDisconnected = false;
      endpoint.deliverPending();
      this.#writeOwnRow(host);
    });
  }

  /** Removes the row of an endpoint for `ms`, though it lives. */
  unlist(index: number, ms: number): void {
    const host = this.#at(index);
    if (host.endpoint === undefined || !host.endpoint.isUp) return;
    this.registrations.unregister(host.endpoint.info);
    this.environment.clock.after(ms, () => this.#writeOwnRow(host));
  }

  /**
   * Replaces the row of an endpoint by one of another writer for `ms`. A row
   * that names another endpoint names that of the host `otherIndex`.
   */
  overwriteRow(
    index: number,
    otherIndex: number,
    kind: ForeignRowKind,
    ms: number,
  ): void {
    const host = this.#at(index);
    const own = host.endpoint;
    const other = this.#at(otherIndex).endpoint;
    if (own === undefined || other === undefined || !own.isUp) return;
    this.registrations.writeForeign(kind, own.info, other.info);
    this.environment.clock.after(ms, () => this.#writeOwnRow(host));
  }

  /** Writes the rows of all endpoints anew. */
  writeOwnRows(): void {
    for (const host of this.list) this.#writeOwnRow(host);
  }

  /** Control of the hosts for one process. */
  control(process: ProcessClock): HostControl {
    const order = (
      name: string,
      sender: OrderSender,
      pool: string | undefined,
      downMs: number,
    ) =>
      process.deliver(
        Promise.resolve(this.#carryOutOrder(name, sender, pool, downMs)),
      );
    return {
      list: () => process.deliver(Promise.resolve(this.#list())),
      maintain: (host, _wave, sender) =>
        order(host, sender, undefined, maintenanceDurationMs),
      move: (host, pool, sender) => order(host, sender, pool, moveDurationMs),
    };
  }

  #at(index: number): ModelHost {
    return this.list[index % this.list.length];
  }

  #list(): Result<readonly ProviderHost[], string> {
    return this.isProviderAway ? Err("away") : Ok(this.#providerHosts());
  }

  #providerHosts(): readonly ProviderHost[] {
    return this.list.map(({ host, pool, state, endpoint }) => ({
      host,
      pool,
      state,
      zone: "zone",
      endpoint: pool === "spare" ? "" : endpoint?.info.id ?? "",
    }));
  }

  /** Carries out a host order: ends the endpoint and reboots the host later. */
  #carryOutOrder(
    name: string,
    sender: OrderSender,
    pool: string | undefined,
    downMs: number,
  ): HostOrderOutcome {
    this.environment.oracle.hostOrderReceived(name, sender.term);
    const host = this.list.find((h) => h.host === name);
    if (host === undefined || host.state !== "up") {
      return { kind: "rejected", reason: "busy" };
    }
    const { endpoint } = host;
    this.environment.oracle.hostOrderCarriedOut(
      endpoint?.availableTasks ?? [],
    );
    const state = pool === undefined ? "upkeep" : "moving";
    if (this.#takeDown(host, state) !== undefined && endpoint !== undefined) {
      this.registrations.unregister(endpoint.info);
    }
    host.pool = pool ?? host.pool;
    this.environment.clock.after(downMs, () => this.#bootHost(host));
    return { kind: "done" };
  }

  /** Ends the endpoint of a host that is up and returns it. */
  #takeDown(
    host: ModelHost,
    state: ProviderHost["state"],
  ): ModelEndpoint | undefined {
    const { endpoint } = host;
    if (host.state !== "up" || endpoint === undefined) return undefined;
    endpoint.crash();
    host.state = state;
    return endpoint;
  }

  /** Boots a host with an endpoint that has a new id, and registers it. */
  #bootHost(host: ModelHost): void {
    this.#bootEndpoint(host, `endpoint-${++this.#endpointCount}`);
    this.#writeOwnRow(host);
  }

  #bootEndpoint(host: ModelHost, id: string): void {
    const info: TaskEndpoint = {
      id,
      address: host.host,
      pool: host.pool,
      zone: "zone",
      life: this.environment.clock.wall(),
      capacity: { cpuMillis: 4_000, memoryMb: 16_000, gpus: 0 },
      labels: ["a", "rack"],
      draining: false,
      host: host.host,
    };
    host.endpoint = new ModelEndpoint(info, this.environment);
    host.state = "up";
    this.network.deliverWaiting(host.host);
  }

  /** Writes the row of a host's endpoint if it is up and reaches the store. */
  #writeOwnRow({ pool, endpoint }: ModelHost): void {
    if (endpoint === undefined || !endpoint.isUp) return;
    if (!endpoint.isReachable) return;
    if (pool !== "spare") this.registrations.register(endpoint.info);
  }
}
