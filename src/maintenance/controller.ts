/**
 * The controller: advances host changes and maintenance waves, one committed
 * step at a time, while this entry holds the lease.
 *
 * Each step is a transaction that checks the row it changes, the lease's term,
 * and, if it required confirmations of entries, the zone's registration row.
 */
import type { Clock, IdSource } from "../clock/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import {
  finishDrain,
  type Host,
  hostKey,
  hostKeyPrefix,
  hostSchema,
  markLeaving,
  type RegisteredEntry,
  registrationKey,
  registrationKeyPrefix,
  registrationSchema,
  removeEntry,
} from "../hosts/index.ts";
import {
  type DecodedRow,
  decodeRows,
  type Platform,
  type PlatformListedHost,
  type PlatformRowCheck,
} from "../platform/index.ts";
import type { Table } from "../table/index.ts";
import type { DrainDependencies } from "./drain.ts";
import { type FleetSnapshot, HostRowWriter } from "./host_row_writer.ts";
import { type Wave, waveKeyPrefix, waveSchema } from "./wave.ts";
import { WaveDriver } from "./wave_driver.ts";

/** Asks entries to confirm a host's epoch. */
export interface Confirmer {
  /**
   * Resolves to true when the entry has applied the epoch and has no work in
   * flight to the host.
   */
  confirm(
    entry: RegisteredEntry,
    host: string,
    epoch: number,
  ): Promise<boolean>;
}

/** Dependencies of `Controller`. */
export interface ControllerDependencies extends DrainDependencies {
  readonly platform: Platform;
  readonly endpoints: EndpointClient;
  readonly confirmer: Confirmer;
  readonly ids: IdSource;
  readonly clock: Clock;
  readonly settings: ControllerSettings;
  /** Name of this entry, for audit records. */
  readonly entryName: string;
  table(): Table;
  /** Called with host rows that were read or committed. */
  onHostRows(rows: readonly Host[]): void;
}

/** Settings of the controller; times in ms. */
export interface ControllerSettings {
  /** Longest time until a change appears in the platform's host list. */
  readonly listLagMs: number;
  /** Time in which a host has to be healthy again after a reboot. */
  readonly bootMs: number;
  /** Whether the endpoint is asked for runs in progress before a drain ends. */
  readonly endpointIdleProbe: boolean;
}

/** Advances host changes and waves. */
export class Controller {
  /** Monotonic time in ms since which each entry is missing from the list. */
  #missingSince = new Map<string, number>();

  readonly #hostRows: HostRowWriter;
  readonly #waveDriver: WaveDriver;

  constructor(private readonly deps: ControllerDependencies) {
    this.#hostRows = new HostRowWriter(deps);
    this.#waveDriver = new WaveDriver({ ...deps, hostRows: this.#hostRows });
  }

  /**
   * Runs one round under a term of the lease. Returns whether changes are in
   * progress, so that the caller starts the next round soon.
   */
  async runRound(term: PlatformRowCheck): Promise<boolean> {
    const fleet = await this.#readFleet(term);
    if (fleet === undefined) return false;
    this.deps.onHostRows(fleet.hosts.map((h) => h.value));
    await this.#syncHostsWithList(fleet);
    await this.#deregisterMissingEntries(fleet);
    const draining = fleet.hosts.filter((h) => h.value.state === "draining");
    await Promise.all(draining.map((host) => this.#advanceDrain(fleet, host)));
    const openWaves = fleet.waves.filter((w) => isOpen(w.value));
    for (const wave of openWaves) await this.#waveDriver.advance(fleet, wave);
    return draining.length > 0 || openWaves.some((w) => isActive(w.value));
  }

  /** Reads a snapshot of the fleet; undefined when the platform fails. */
  async #readFleet(term: PlatformRowCheck): Promise<FleetSnapshot | undefined> {
    const { platform } = this.deps;
    const [rows, listed] = await Promise.all([
      platform.table.read({
        prefixes: [hostKeyPrefix, registrationKeyPrefix, waveKeyPrefix],
      }),
      platform.listHosts(),
    ]);
    if (rows.err || listed.err) return undefined;
    const hosts = decodeRows(hostSchema, rows.val, hostKeyPrefix);
    return {
      hosts,
      byName: new Map(hosts.map((h) => [h.value.name, h.value])),
      registrations: rows.val.filter((r) =>
        r.key.startsWith(registrationKeyPrefix)
      ),
      waves: decodeRows(waveSchema, rows.val, waveKeyPrefix),
      listed: new Map(listed.val.map((h) => [h.name, h])),
      term,
    };
  }

  /** Adds hosts that are new in the list, and marks those that leave. */
  async #syncHostsWithList(fleet: FleetSnapshot): Promise<void> {
    const changes: Promise<unknown>[] = [];
    for (const listed of fleet.listed.values()) {
      if (listed.role !== "worker") continue;
      const known = fleet.hosts.find((h) => h.value.name === listed.name);
      if (known === undefined && listed.state === "live") {
        changes.push(this.#addHost(fleet, listed));
      } else if (known !== undefined) {
        changes.push(this.#syncHostState(fleet, known, listed));
      }
    }
    await Promise.all(changes);
  }

  async #addHost(
    fleet: FleetSnapshot,
    listed: PlatformListedHost,
  ): Promise<void> {
    const pool = this.#poolFor(listed);
    if (pool === undefined) return;
    const host: Host = {
      name: listed.name,
      zone: listed.zone,
      rack: listed.rack,
      address: listed.address,
      slots: listed.slots,
      connections: listed.connections,
      pool,
      state: "serving",
      epoch: 1,
    };
    const key = hostKey(host.name);
    const before = { key, version: 0, value: undefined };
    await this.#hostRows.commitHost(fleet, before, host, "host.add", []);
  }

  /** The pool that the list names or, if it does not exist, the spare pool. */
  #poolFor(listed: PlatformListedHost): string | undefined {
    const table = this.deps.table();
    if (table.pool(listed.pool) !== undefined) return listed.pool;
    return table.pools().find((p) => p.spare)?.name;
  }

  /**
   * Marks a host that the list reports as leaving or gone. Returns a leaving
   * host that is listed as live again once it is healthy and runs nothing.
   */
  async #syncHostState(
    fleet: FleetSnapshot,
    host: DecodedRow<Host>,
    listed: PlatformListedHost,
  ): Promise<void> {
    const { state } = host.value;
    if (listed.state !== "live" && state !== "leaving" && state !== "out") {
      const next = markLeaving(host.value);
      await this.#hostRows.commitHost(fleet, host, next, "host.leaving", []);
    }
    if (listed.state === "live" && state === "leaving") {
      const health = await this.deps.endpoints.health(host.value);
      if (health.err || !health.val.ok || health.val.running > 0) return;
      const next: Host = {
        ...host.value,
        address: listed.address,
        state: "serving",
        epoch: host.value.epoch + 1,
        cause: undefined,
      };
      await this.#hostRows.commitHost(fleet, host, next, "host.back", []);
    }
  }

  /**
   * Deregisters the entries that have been missing from the list for longer
   * than its lag.
   */
  async #deregisterMissingEntries(fleet: FleetSnapshot): Promise<void> {
    const now = this.deps.clock.now();
    const rows = decodeRows(
      registrationSchema,
      fleet.registrations,
      registrationKeyPrefix,
    );
    const registered = new Set<string>();
    for (const row of rows) {
      for (const entry of row.value.entries) {
        registered.add(entry.entry);
        const state = fleet.listed.get(entry.entry)?.state ?? "gone";
        if (state !== "gone") {
          this.#missingSince.delete(entry.entry);
          continue;
        }
        const missingSince = this.#missingSince.get(entry.entry) ?? now;
        this.#missingSince.set(entry.entry, missingSince);
        if (now - missingSince < this.deps.settings.listLagMs) continue;
        await this.#deregisterEntry(fleet, row, entry);
      }
    }
    for (const entry of this.#missingSince.keys()) {
      if (!registered.has(entry)) this.#missingSince.delete(entry);
    }
  }

  async #deregisterEntry(
    fleet: FleetSnapshot,
    row: DecodedRow<{ zone: string; entries: RegisteredEntry[] }>,
    entry: RegisteredEntry,
  ): Promise<void> {
    const next = removeEntry(row.value, entry.entry, entry.incarnation);
    const operation = this.deps.ids.next();
    await this.deps.platform.table.commit({
      operation,
      checks: [{ key: row.key, version: row.version }, fleet.term],
      writes: [
        { key: row.key, value: next },
        this.#hostRows.buildAuditRecord(
          "entry.drop",
          `entry ${entry.entry}`,
          row.value,
          next,
          operation,
        ),
      ],
    });
  }

  /**
   * Finishes a drain once every registered entry has confirmed it and the
   * endpoint is idle.
   */
  async #advanceDrain(
    fleet: FleetSnapshot,
    host: DecodedRow<Host>,
  ): Promise<void> {
    const key = registrationKey(host.value.zone);
    const row = fleet.registrations.find((r) => r.key === key);
    const entries = row === undefined
      ? []
      : decodeRows(registrationSchema, [row], key)[0]?.value.entries;
    if (entries === undefined) return;
    const confirmed = await Promise.all(
      entries.map((entry) =>
        this.deps.confirmer.confirm(
          entry,
          host.value.name,
          host.value.epoch,
        )
      ),
    );
    if (confirmed.includes(false)) return;
    if (!await this.#isIdle(host.value)) return;
    const registration = { key, version: row?.version ?? 0 };
    const next = finishDrain(host.value);
    const action = next.state === "serving" ? "host.moved" : "host.drained";
    await this.#hostRows.commitHost(fleet, host, next, action, [registration]);
  }

  /**
   * Whether the endpoint reports no run in progress, which includes runs of
   * entries that are gone. A host that does not answer counts as idle unless it
   * moves to another pool.
   */
  async #isIdle(host: Host): Promise<boolean> {
    if (!this.deps.settings.endpointIdleProbe) return true;
    const health = await this.deps.endpoints.health(host);
    if (health.ok) return health.val.running === 0;
    return host.target === undefined;
  }
}

/** Whether a wave needs further rounds. */
function isOpen(wave: Wave): boolean {
  const inProgress = wave.hosts.some((s) =>
    s.step === "draining" || s.step === "rebooting"
  );
  return isActive(wave) || inProgress;
}

/** Whether a wave may take further hosts out of service. */
function isActive(wave: Wave): boolean {
  return wave.state === "canary" || wave.state === "running";
}
