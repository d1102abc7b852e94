/**
 * Polls the platform for the table version, the host rows, the registrations
 * and the host list, and keeps this entry registered for its zones.
 */
import type { Clock, IdSource, Random } from "../clock/index.ts";
import type { FleetEvent, FleetState } from "../fleet/index.ts";
import {
  addEntry,
  changeRegistration,
  hostKeyPrefix,
  hostSchema,
  isRegistered,
  rankOwners,
  type RegisteredEntry,
  type Registration,
  registrationKeyPrefix,
  registrationSchema,
  removeEntry,
} from "../hosts/index.ts";
import type { PeerMember } from "../peers/index.ts";
import { decodeRows, type Platform } from "../platform/index.ts";
import { readTable, readTableVersion } from "../table/index.ts";
import type { PauseGuard } from "./pause_guard.ts";

/** Number of entries a zone needs so that its hosts get work when one fails. */
const minEntriesPerZone = 2;
/** Width of the random variation of the poll interval, as a fraction of it. */
const jitterFraction = 0.2;

/** Dependencies of `PlatformPoller`. */
export interface PlatformPollerDependencies {
  readonly platform: Platform;
  readonly guard: PauseGuard;
  readonly ids: IdSource;
  readonly clock: Clock;
  readonly random: Random;
  /** Mean interval between two polls in ms. */
  readonly pollMs: number;
  readonly self: RegisteredEntry;
  state(): FleetState;
  members(): readonly PeerMember[];
  sendEvent(event: FleetEvent): void;
  isShuttingDown(): boolean;
}

/** Polls the platform and sends what it reads to the fleet actor. */
export class PlatformPoller {
  constructor(private readonly deps: PlatformPollerDependencies) {}

  /** Polls once; returns the pause until the next poll in ms. */
  async poll(): Promise<number> {
    const { deps } = this;
    // Read before the rows, because rows that were read before a pause must not
    // lift the block that the pause causes.
    const pauseCount = deps.guard.pauseCount;
    const [version, rows, listed] = await Promise.all([
      readTableVersion(deps.platform.table),
      deps.platform.table.read({
        prefixes: [hostKeyPrefix, registrationKeyPrefix],
      }),
      deps.platform.listHosts(),
    ]);
    if (version.ok && version.val > deps.state().table.version) {
      await this.#fetchTable();
    }
    if (listed.ok) deps.sendEvent({ kind: "list", hosts: listed.val });
    if (rows.ok) {
      const hosts = decodeRows(hostSchema, rows.val, hostKeyPrefix);
      const registrations = decodeRows(
        registrationSchema,
        rows.val,
        registrationKeyPrefix,
      ).map((r) => r.value);
      deps.sendEvent({ kind: "hosts", rows: hosts.map((h) => h.value) });
      deps.sendEvent({ kind: "registrations", rows: registrations });
      if (this.#isSelfRegistered(registrations)) deps.guard.unblock(pauseCount);
      if (!deps.isShuttingDown()) await this.#registerMissing(registrations);
    }
    const jitterFactor = 1 + jitterFraction * (deps.random() - 0.5);
    return deps.pollMs * jitterFactor;
  }

  /** Removes this entry's registrations from all zones, at shutdown. */
  async deregister(): Promise<void> {
    const { deps } = this;
    const { entry, incarnation } = deps.self;
    for (const [zone, row] of deps.state().registrations) {
      if (!isRegistered(row, entry, incarnation)) continue;
      await changeRegistration(
        deps.platform.table,
        zone,
        deps.ids.next(),
        (r) => removeEntry(r, entry, incarnation),
      );
    }
  }

  async #fetchTable(): Promise<void> {
    const table = await readTable(this.deps.platform.table);
    if (table.ok) this.deps.sendEvent({ kind: "table", table: table.val });
  }

  /** Whether this incarnation is registered for its own zone. */
  #isSelfRegistered(registrations: readonly Registration[]): boolean {
    const { entry, incarnation, zone } = this.deps.self;
    const ownZoneRow = registrations.find((r) => r.zone === zone);
    return isRegistered(ownZoneRow, entry, incarnation);
  }

  /**
   * Registers this entry for its own zone, for zones that still list an earlier
   * incarnation of it, and for other zones that have too few entries.
   */
  async #registerMissing(
    registrations: readonly Registration[],
  ): Promise<void> {
    const { self } = this.deps;
    for (const zone of this.#knownZones(registrations)) {
      const row = registrations.find((r) => r.zone === zone);
      if (isRegistered(row, self.entry, self.incarnation)) continue;
      const others = (row?.entries ?? []).filter((e) => e.entry !== self.entry);
      const replacesOldIncarnation = others.length < (row?.entries.length ?? 0);
      const shouldRegister = zone === self.zone || replacesOldIncarnation ||
        this.#shouldJoinForeignZone(zone, others);
      if (shouldRegister) await this.#registerInZone(zone);
    }
  }

  async #registerInZone(zone: string): Promise<void> {
    await changeRegistration(
      this.deps.platform.table,
      zone,
      this.deps.ids.next(),
      (row) => addEntry(row, this.deps.self),
    );
  }

  /** The zones of this entry, of all registrations, and of all hosts. */
  #knownZones(registrations: readonly Registration[]): readonly string[] {
    const zones = new Set([this.deps.self.zone]);
    for (const row of registrations) zones.add(row.zone);
    for (const host of this.deps.state().hosts.values()) zones.add(host.zone);
    return [...zones];
  }

  /**
   * Whether this entry should register for another zone: the zone has fewer
   * entries than it needs, and this entry ranks first among the connected
   * entries of other zones. A zone without entries gets none this way.
   */
  #shouldJoinForeignZone(zone: string, registered: readonly RegisteredEntry[]) {
    if (registered.length === 0 || registered.length >= minEntriesPerZone) {
      return false;
    }
    const registeredNames = new Set(registered.map((e) => e.entry));
    const candidates = this.deps.members()
      .map((m) => ({ entry: m.hello.entry, zone: m.hello.zone }))
      .concat({ entry: this.deps.self.entry, zone: this.deps.self.zone })
      .filter((c) => !registeredNames.has(c.entry) && c.zone !== zone);
    return rankOwners(zone, zone, candidates)[0] === this.deps.self.entry;
  }
}
