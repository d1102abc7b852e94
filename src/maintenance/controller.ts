/**
 * The controller: carries the changes of hosts and the waves forward, one
 * committed step at a time, while this entry holds the lease.
 *
 * Every step is a transaction that checks the row it changes, the lease's
 * term, and, where entries had to confirm, the zone's registration.
 */
import { auditWrite } from "../audit/index.ts";
import type { Clock, IdSource } from "../clock/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import {
  finishDrain,
  type Host,
  hostKey,
  type HostMap,
  hostPrefix,
  hostSchema,
  markLeaving,
  type RegisteredEntry,
  registrationKey,
  registrationPrefix,
  registrationSchema,
  removeEntry,
  returnToService,
  startMaintenance,
} from "../hosts/index.ts";
import {
  type Check,
  decodeRows,
  type ListedHost,
  type Platform,
  type Row,
  type Stored,
  type Write,
} from "../platform/index.ts";
import type { Table } from "../table/index.ts";
import { drainHost, type DrainParts } from "./drain.ts";
import {
  reviewWave,
  setStep,
  type Wave,
  type WaveAction,
  waveActions,
  wavePrefix,
  waveSchema,
} from "./wave.ts";

/** Asks entries for the confirmation of a host's epoch. */
export interface Confirmer {
  /** True when the entry knows the epoch and has nothing in flight. */
  confirm(
    entry: RegisteredEntry,
    host: string,
    epoch: number,
  ): Promise<boolean>;
}

/** What the controller needs of its entry. */
export interface ControllerParts extends DrainParts {
  readonly platform: Platform;
  readonly endpoints: EndpointClient;
  readonly confirmer: Confirmer;
  readonly ids: IdSource;
  readonly clock: Clock;
  readonly settings: ControllerSettings;
  readonly name: string;
  table(): Table;
  /** Called with rows that were committed or read. */
  learned(rows: readonly Host[]): void;
}

/** Settings of the controller; times in ms. */
export interface ControllerSettings {
  /** Stated lag of the platform's list. */
  readonly listLagMs: number;
  /** Time for a host to come back from a reboot. */
  readonly bootMs: number;
  /** Whether a host changes pools only when its endpoint reports no run. */
  readonly endpointIdleProbe: boolean;
}

/** Everything that one round decides on. */
interface Fleet {
  readonly hosts: readonly Stored<Host>[];
  readonly byName: HostMap;
  readonly registrations: readonly Row[];
  readonly waves: readonly Stored<Wave>[];
  readonly listed: ReadonlyMap<string, ListedHost>;
  readonly term: Check;
}

/** Carries host changes and waves forward. */
export class Controller {
  /** Monotonic time in ms since which an entry is missing from the list. */
  #missingSince = new Map<string, number>();

  constructor(private readonly parts: ControllerParts) {}

  /**
   * Does one round; returns whether changes are in progress, so that the next
   * round follows soon.
   */
  async round(term: Check): Promise<boolean> {
    const fleet = await this.#read(term);
    if (fleet === undefined) return false;
    this.parts.learned(fleet.hosts.map((h) => h.value));
    await this.#adoptListed(fleet);
    await this.#dropGoneEntries(fleet);
    const draining = fleet.hosts.filter((h) => h.value.state === "draining");
    await Promise.all(draining.map((host) => this.#advanceDrain(fleet, host)));
    const open = fleet.waves.filter((w) => isOpen(w.value));
    for (const wave of open) await this.#advanceWave(fleet, wave);
    return draining.length > 0 || open.some((w) => isActive(w.value));
  }

  async #read(term: Check): Promise<Fleet | undefined> {
    const { platform } = this.parts;
    const [rows, listed] = await Promise.all([
      platform.table.read({
        prefixes: [hostPrefix, registrationPrefix, wavePrefix],
      }),
      platform.listHosts(),
    ]);
    if (rows.err || listed.err) return undefined;
    const hosts = decodeRows(hostSchema, rows.val, hostPrefix);
    return {
      hosts,
      byName: new Map(hosts.map((h) => [h.value.name, h.value])),
      registrations: rows.val.filter((r) =>
        r.key.startsWith(registrationPrefix)
      ),
      waves: decodeRows(waveSchema, rows.val, wavePrefix),
      listed: new Map(listed.val.map((h) => [h.name, h])),
      term,
    };
  }

  /** Adds new hosts of the list and marks those that leave. */
  async #adoptListed(fleet: Fleet): Promise<void> {
    const changes: Promise<unknown>[] = [];
    for (const listed of fleet.listed.values()) {
      if (listed.role !== "worker") continue;
      const known = fleet.hosts.find((h) => h.value.name === listed.name);
      if (known === undefined && listed.state === "live") {
        changes.push(this.#addHost(fleet, listed));
      } else if (known !== undefined) {
        changes.push(this.#followList(fleet, known, listed));
      }
    }
    await Promise.all(changes);
  }

  async #addHost(fleet: Fleet, listed: ListedHost): Promise<void> {
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
    await this.#commitHost(fleet, before, host, "host.add", []);
  }

  #poolFor(listed: ListedHost): string | undefined {
    const table = this.parts.table();
    if (table.pool(listed.pool) !== undefined) return listed.pool;
    return table.pools().find((p) => p.spare)?.name;
  }

  async #followList(
    fleet: Fleet,
    host: Stored<Host>,
    listed: ListedHost,
  ): Promise<void> {
    const { state } = host.value;
    if (listed.state !== "live" && state !== "leaving" && state !== "out") {
      const next = markLeaving(host.value);
      await this.#commitHost(fleet, host, next, "host.leaving", []);
    }
    if (listed.state === "live" && state === "leaving") {
      const health = await this.parts.endpoints.health(host.value);
      if (health.err || !health.val.ok || health.val.running > 0) return;
      const next: Host = {
        ...host.value,
        address: listed.address,
        state: "serving",
        epoch: host.value.epoch + 1,
        cause: undefined,
      };
      await this.#commitHost(fleet, host, next, "host.back", []);
    }
  }

  /** Removes the registrations of entries that left the list long ago. */
  async #dropGoneEntries(fleet: Fleet): Promise<void> {
    const now = this.parts.clock.now();
    const rows = decodeRows(
      registrationSchema,
      fleet.registrations,
      registrationPrefix,
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
        const since = this.#missingSince.get(entry.entry) ?? now;
        this.#missingSince.set(entry.entry, since);
        if (now - since < this.parts.settings.listLagMs) continue;
        await this.#dropEntry(fleet, row, entry);
      }
    }
    for (const entry of this.#missingSince.keys()) {
      if (!registered.has(entry)) this.#missingSince.delete(entry);
    }
  }

  async #dropEntry(
    fleet: Fleet,
    row: Stored<{ zone: string; entries: RegisteredEntry[] }>,
    entry: RegisteredEntry,
  ): Promise<void> {
    const next = removeEntry(row.value, entry.entry, entry.incarnation);
    const operation = this.parts.ids.next();
    await this.parts.platform.table.commit({
      operation,
      checks: [{ key: row.key, version: row.version }, fleet.term],
      writes: [
        { key: row.key, value: next },
        this.#audit(
          "entry.drop",
          `entry ${entry.entry}`,
          row.value,
          next,
          operation,
        ),
      ],
    });
  }

  /** Finishes a drain that every registered entry has confirmed. */
  async #advanceDrain(fleet: Fleet, host: Stored<Host>): Promise<void> {
    const key = registrationKey(host.value.zone);
    const row = fleet.registrations.find((r) => r.key === key);
    const entries = row === undefined
      ? []
      : decodeRows(registrationSchema, [row], key)[0]?.value.entries;
    if (entries === undefined) return;
    const confirmed = await Promise.all(
      entries.map((entry) =>
        this.parts.confirmer.confirm(
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
    await this.#commitHost(fleet, host, next, action, [registration]);
  }

  /**
   * Whether the endpoint itself reports no run, also of entries that are
   * gone. A host that does not answer changes no pool.
   */
  async #isIdle(host: Host): Promise<boolean> {
    if (!this.parts.settings.endpointIdleProbe) return true;
    const health = await this.parts.endpoints.health(host);
    if (health.ok) return health.val.running === 0;
    return host.target === undefined;
  }

  async #advanceWave(fleet: Fleet, stored: Stored<Wave>): Promise<void> {
    let wave: Stored<Wave> = stored;
    for (const action of waveActions(wave.value, fleet.byName)) {
      wave = await this.#carryOut(fleet, wave, action);
    }
    const next = reviewWave(wave.value);
    if (next !== wave.value) await this.#commitWave(fleet, wave, next);
  }

  async #commitWave(
    fleet: Fleet,
    from: Stored<Wave>,
    to: Wave,
  ): Promise<Stored<Wave>> {
    const operation = this.parts.ids.next();
    const writes: Write[] = [{ key: from.key, value: to }];
    if (to.state !== from.value.state) {
      writes.push(this.#audit(
        "wave.state",
        `wave ${to.id}`,
        from.value.state,
        { state: to.state, reason: to.reason },
        operation,
      ));
    }
    const outcome = await this.parts.platform.table.commit({
      operation,
      checks: [{ key: from.key, version: from.version }, fleet.term],
      writes,
    });
    if (outcome.err || outcome.val.kind !== "committed") return from;
    return { key: from.key, version: outcome.val.version, value: to };
  }

  async #carryOut(
    fleet: Fleet,
    wave: Stored<Wave>,
    action: WaveAction,
  ): Promise<Stored<Wave>> {
    switch (action.kind) {
      case "drain":
        return await this.#drainFor(fleet, wave, action.host);
      case "reboot":
        return await this.#startReboot(fleet, wave, action.host);
      case "check":
        return await this.#checkBoot(fleet, wave, action.host, action.boot);
    }
  }

  async #drainFor(
    fleet: Fleet,
    wave: Stored<Wave>,
    name: string,
  ): Promise<Stored<Wave>> {
    const at = this.parts.clock.wall();
    const next = setStep(wave.value, name, "draining", at);
    const drained = await drainHost(this.parts, {
      host: name,
      cause: wave.value.id,
      checks: [fleet.term, { key: wave.key, version: wave.version }],
      writes: [{ key: wave.key, value: next }],
    }, { who: this.parts.name, at, operation: this.parts.ids.next() });
    if (drained.err) return wave;
    this.parts.learned([drained.val.host]);
    return { key: wave.key, version: drained.val.version, value: next };
  }

  async #startReboot(
    fleet: Fleet,
    wave: Stored<Wave>,
    name: string,
  ): Promise<Stored<Wave>> {
    const host = fleet.hosts.find((h) => h.value.name === name);
    if (host === undefined) return wave;
    const health = await this.parts.endpoints.health(host.value);
    const boot = health.ok ? health.val.boot : "";
    const at = this.parts.clock.wall();
    const next = setStep(wave.value, name, "rebooting", at, boot);
    const out = startMaintenance(host.value);
    const after = await this.#commitStep(
      fleet,
      wave,
      next,
      host,
      out,
      "host.out",
    );
    if (after !== wave) await this.#orderReboot(wave.value, out);
    return after;
  }

  /** One operation id per host and epoch: repeated calls reboot once. */
  async #orderReboot(wave: Wave, host: Host): Promise<void> {
    const operation = `${wave.id}/${host.name}/${host.epoch}`;
    await this.parts.platform.reboot(host.name, operation);
  }

  async #checkBoot(
    fleet: Fleet,
    wave: Stored<Wave>,
    name: string,
    boot: string,
  ): Promise<Stored<Wave>> {
    const host = fleet.hosts.find((h) => h.value.name === name);
    const step = wave.value.hosts.find((s) => s.host === name);
    if (host === undefined || step === undefined) return wave;
    const now = this.parts.clock.wall();
    const done = setStep(wave.value, name, "done", now);
    const next = returnToService(host.value);
    if (next.err) return await this.#commitWave(fleet, wave, done);
    const health = await this.parts.endpoints.health(host.value);
    const booted = health.ok && health.val.ok && health.val.boot !== boot;
    if (booted) {
      return await this.#commitStep(
        fleet,
        wave,
        done,
        host,
        next.val,
        "host.return",
      );
    }
    if (now - step.since > this.parts.settings.bootMs) {
      const failed = setStep(wave.value, name, "failed", now);
      return await this.#commitWave(fleet, wave, failed);
    }
    await this.#orderReboot(wave.value, host.value);
    return wave;
  }

  /** Commits a wave's step with the change of its host. */
  async #commitStep(
    fleet: Fleet,
    wave: Stored<Wave>,
    nextWave: Wave,
    host: Stored<Host>,
    nextHost: Host,
    action: string,
  ): Promise<Stored<Wave>> {
    const version = await this.#commitHost(fleet, host, nextHost, action, [
      { key: wave.key, version: wave.version },
    ], [{ key: wave.key, value: nextWave }]);
    if (version === undefined) return wave;
    return { key: wave.key, version, value: nextWave };
  }

  /** Commits a host's row; returns the version, or undefined on a race. */
  async #commitHost(
    fleet: Fleet,
    from: {
      readonly key: string;
      readonly version: number;
      readonly value?: Host;
    },
    to: Host,
    action: string,
    checks: readonly Check[],
    writes: readonly Write[] = [],
  ): Promise<number | undefined> {
    const operation = this.parts.ids.next();
    const subject = `host ${to.name}`;
    const outcome = await this.parts.platform.table.commit({
      operation,
      checks: [
        { key: from.key, version: from.version },
        fleet.term,
        ...checks,
      ],
      writes: [
        { key: from.key, value: to },
        this.#audit(action, subject, from.value ?? null, to, operation),
        ...writes,
      ],
    });
    if (outcome.err || outcome.val.kind !== "committed") {
      return undefined;
    }
    this.parts.learned([to]);
    return outcome.val.version;
  }

  #audit(
    action: string,
    subject: string,
    before: unknown,
    after: unknown,
    operation: string,
  ): Write {
    const at = this.parts.clock.wall();
    const who = this.parts.name;
    return auditWrite({ at, who, action, subject, before, after, operation });
  }
}

function isOpen(wave: Wave): boolean {
  const inProgress = wave.hosts.some((s) =>
    s.step === "draining" || s.step === "rebooting"
  );
  return isActive(wave) || inProgress;
}

function isActive(wave: Wave): boolean {
  return wave.state === "canary" || wave.state === "running";
}
