/**
 * Advances waves. A step that changes a host is committed in one transaction
 * with the host's row.
 */
import { returnToService, startMaintenance } from "../hosts/index.ts";
import type { Host } from "../hosts/index.ts";
import type { DecodedRow, PlatformRowWrite } from "../platform/index.ts";
import type { ControllerDependencies } from "./controller.ts";
import { drainHost } from "./drain.ts";
import type { FleetSnapshot, HostRowWriter } from "./host_row_writer.ts";
import {
  beginsStep,
  updateWaveState,
  type Wave,
  type WaveAction,
  waveActions,
  withHostStep,
} from "./wave.ts";

/** Performs the actions of waves. */
export class WaveDriver {
  constructor(
    private readonly deps: ControllerDependencies & {
      readonly hostRows: HostRowWriter;
    },
  ) {}

  /**
   * Advances the hosts in progress, updates the wave's state, and then takes out
   * of service the hosts that the new state allows.
   */
  async advance(fleet: FleetSnapshot, stored: DecodedRow<Wave>): Promise<void> {
    const advanced = await this.#executeActions(
      fleet,
      stored,
      (action) => !beginsStep(action),
    );
    const next = updateWaveState(advanced.value);
    const reviewed = next === advanced.value
      ? advanced
      : await this.#commitWave(fleet, advanced, next);
    await this.#executeActions(fleet, reviewed, beginsStep);
  }

  /** Performs the next actions that `selects` accepts; returns the new row. */
  async #executeActions(
    fleet: FleetSnapshot,
    stored: DecodedRow<Wave>,
    selects: (action: WaveAction) => boolean,
  ): Promise<DecodedRow<Wave>> {
    let wave = stored;
    const actions = waveActions(wave.value, fleet.byName).filter(selects);
    for (const action of actions) {
      wave = await this.#execute(fleet, wave, action);
    }
    return wave;
  }

  /** Commits a wave's row; returns the old row when the commit failed. */
  async #commitWave(
    fleet: FleetSnapshot,
    from: DecodedRow<Wave>,
    to: Wave,
  ): Promise<DecodedRow<Wave>> {
    const operation = this.deps.ids.next();
    const writes: PlatformRowWrite[] = [{ key: from.key, value: to }];
    if (to.state !== from.value.state) {
      writes.push(this.deps.hostRows.buildAuditRecord(
        "wave.state",
        `wave ${to.id}`,
        from.value.state,
        { state: to.state, reason: to.reason },
        operation,
      ));
    }
    const outcome = await this.deps.platform.table.commit({
      operation,
      checks: [{ key: from.key, version: from.version }, fleet.term],
      writes,
    });
    if (outcome.err || outcome.val.kind !== "committed") return from;
    return { key: from.key, version: outcome.val.version, value: to };
  }

  async #execute(
    fleet: FleetSnapshot,
    wave: DecodedRow<Wave>,
    action: WaveAction,
  ): Promise<DecodedRow<Wave>> {
    switch (action.kind) {
      case "drain":
        return await this.#drainHost(fleet, wave, action.host);
      case "reboot":
      case "retry":
        return await this.#startReboot(fleet, wave, action.host);
      case "check":
        return await this.#checkBoot(fleet, wave, action.host, action.boot);
    }
  }

  /** Drains a host for a wave; returns the old wave when the drain failed. */
  async #drainHost(
    fleet: FleetSnapshot,
    wave: DecodedRow<Wave>,
    name: string,
  ): Promise<DecodedRow<Wave>> {
    const at = this.deps.clock.wall();
    const next = withHostStep(wave.value, name, "draining", at);
    const drained = await drainHost(this.deps, {
      host: name,
      cause: wave.value.id,
      checks: [fleet.term, { key: wave.key, version: wave.version }],
      writes: [{ key: wave.key, value: next }],
    }, { who: this.deps.entryName, at, operation: this.deps.ids.next() });
    if (drained.err) return wave;
    this.deps.onHostRows([drained.val.host]);
    return { key: wave.key, version: drained.val.version, value: next };
  }

  /** Puts a host that is out of service under maintenance and reboots it. */
  async #startReboot(
    fleet: FleetSnapshot,
    wave: DecodedRow<Wave>,
    name: string,
  ): Promise<DecodedRow<Wave>> {
    const host = fleet.hosts.find((h) => h.value.name === name);
    if (host === undefined) return wave;
    const health = await this.deps.endpoints.health(host.value);
    const boot = health.ok ? health.val.boot : "";
    const at = this.deps.clock.wall();
    const next = withHostStep(wave.value, name, "rebooting", at, boot);
    const nextHost = startMaintenance(host.value);
    const after = await this.#commitStep(
      fleet,
      wave,
      next,
      host,
      nextHost,
      "host.out",
    );
    if (after !== wave) await this.#requestReboot(wave.value, nextHost);
    return after;
  }

  /**
   * Requests a reboot of a host. The operation id depends on wave, host and
   * epoch only, so repeated requests cause one reboot.
   */
  async #requestReboot(wave: Wave, host: Host): Promise<void> {
    const operation = `${wave.id}/${host.name}/${host.epoch}`;
    await this.deps.platform.reboot(host.name, operation);
  }

  /**
   * Returns a rebooted and healthy host to service, or marks it as failed once
   * `bootMs` has passed. Until then it repeats the request for the reboot.
   */
  async #checkBoot(
    fleet: FleetSnapshot,
    wave: DecodedRow<Wave>,
    name: string,
    boot: string,
  ): Promise<DecodedRow<Wave>> {
    const host = fleet.hosts.find((h) => h.value.name === name);
    const step = wave.value.hosts.find((s) => s.host === name);
    if (host === undefined || step === undefined) return wave;
    const now = this.deps.clock.wall();
    const done = withHostStep(wave.value, name, "done", now);
    const nextHost = returnToService(host.value);
    if (nextHost.err) return await this.#commitWave(fleet, wave, done);
    const health = await this.deps.endpoints.health(host.value);
    const rebooted = health.ok && health.val.ok && health.val.boot !== boot;
    if (rebooted) {
      return await this.#commitStep(
        fleet,
        wave,
        done,
        host,
        nextHost.val,
        "host.return",
      );
    }
    if (now - step.since > this.deps.settings.bootMs) {
      const failed = withHostStep(wave.value, name, "failed", now);
      return await this.#commitWave(fleet, wave, failed);
    }
    await this.#requestReboot(wave.value, host.value);
    return wave;
  }

  /** Commits a wave's row in one transaction with the row of its host. */
  async #commitStep(
    fleet: FleetSnapshot,
    wave: DecodedRow<Wave>,
    nextWave: Wave,
    host: DecodedRow<Host>,
    nextHost: Host,
    action: string,
  ): Promise<DecodedRow<Wave>> {
    const version = await this.deps.hostRows.commitHost(
      fleet,
      host,
      nextHost,
      action,
      [
        { key: wave.key, version: wave.version },
      ],
      [{ key: wave.key, value: nextWave }],
    );
    if (version === undefined) return wave;
    return { key: wave.key, version, value: nextWave };
  }
}
