/**
 * A controller over a fake platform and a virtual clock, with one wave over
 * hosts whose reboots can fail.
 */
import { Ok } from "ts-results";
import { MemoryPlatform } from "../../fakes/memory_platform.ts";
import { VirtualClock } from "../../sim/virtual_clock.ts";
import { IdSource } from "../../src/clock/index.ts";
import type { EndpointClient } from "../../src/endpoint/index.ts";
import { type Host, hostKey } from "../../src/hosts/index.ts";
import {
  commandWave,
  Controller,
  planWave,
  type Wave,
  type WaveCommand,
  waveKey,
  type WaveStep,
} from "../../src/maintenance/index.ts";
import { Table } from "../../src/table/index.ts";

/** Time in ms that a host has to become healthy after a reboot. */
const bootMs = 8_000;
const waveId = "spring";
const termKey = "controller";

/** One wave and the controller that advances it. */
export class WaveFleet {
  readonly clock = new VirtualClock();
  readonly platform = new MemoryPlatform();
  /** Hosts that stay unhealthy after a reboot. */
  readonly failingReboot = new Set<string>();
  readonly #boots = new Map<string, number>();
  readonly #controller: Controller;

  /** Plans a running wave over the hosts `h-1` to `h-COUNT`. */
  constructor(hostCount: number, parallel: number) {
    const hosts = Array.from(
      { length: hostCount },
      (_, i) => makeHost(`h-${i + 1}`),
    );
    for (const host of hosts) this.#addHost(host);
    const wave = planWave(waveId, hosts, parallel, this.clock.wall());
    this.#write(waveKey(waveId), { ...wave, state: "running" });
    this.#write(termKey, {});
    this.platform.onReboot = (name) =>
      this.#boots.set(name, (this.#boots.get(name) ?? 0) + 1);
    this.#controller = new Controller({
      platform: this.platform,
      endpoints: this.#endpoints(),
      confirmer: { confirm: () => Promise.resolve(true) },
      ids: new IdSource("test"),
      clock: this.clock,
      settings: { listLagMs: 500, bootMs, endpointIdleProbe: true },
      entryName: "entry-1",
      table: () => Table.empty,
      onHostRows: () => {},
    });
  }

  /** Runs one round of the controller. */
  async runRound(): Promise<void> {
    const version = this.platform.rows.get(termKey)?.version ?? 0;
    await this.#controller.runRound({ key: termKey, version });
  }

  /** Runs rounds of the controller, each `intervalMs` after the last. */
  async runRounds(count: number, intervalMs: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      await this.runRound();
      await this.clock.advance(intervalMs);
    }
  }

  /** Applies an operator's command to the wave; throws if it is refused. */
  command(command: WaveCommand): void {
    const wave = commandWave(this.wave(), command).unwrap();
    this.#write(waveKey(waveId), wave);
  }

  /** The wave's row as committed. */
  wave(): Wave {
    return this.platform.rows.get(waveKey(waveId))?.value as Wave;
  }

  /** The steps of the hosts in the order of the wave. */
  steps(): readonly WaveStep["step"][] {
    return this.wave().hosts.map((s) => s.step);
  }

  /**
   * Puts hosts of the wave at the step `rebooting` and leaves them unhealthy.
   * `remainingMs` is what is left of each host's time to become healthy.
   */
  failSoon(remainingMs: Readonly<Record<string, number>>): void {
    const at = this.clock.wall() - bootMs;
    const wave = this.wave();
    const hosts = wave.hosts.map((step): WaveStep => {
      const remaining = remainingMs[step.host];
      if (remaining === undefined) return step;
      this.failingReboot.add(step.host);
      this.#boots.set(step.host, 1);
      const host = { ...makeHost(step.host), state: "out", cause: waveId };
      this.#write(hostKey(step.host), host);
      const since = at + remaining;
      return { ...step, step: "rebooting", since, boot: `${step.host}-0` };
    });
    this.#write(waveKey(waveId), { ...wave, hosts });
  }

  #addHost(host: Host): void {
    this.#write(hostKey(host.name), host);
    this.platform.hosts.set(host.name, {
      ...host,
      role: "worker",
      state: "live",
    });
  }

  #write(key: string, value: unknown): void {
    this.platform.apply({
      operation: `write-${key}-${this.platform.rows.get(key)?.version ?? 0}`,
      checks: [],
      writes: [{ key, value }],
    });
  }

  #endpoints(): EndpointClient {
    const unused = () => Promise.reject(new Error("not part of a wave"));
    return {
      send: unused,
      queryRun: unused,
      health: ({ name }) => {
        const boots = this.#boots.get(name) ?? 0;
        const ok = boots === 0 || !this.failingReboot.has(name);
        const boot = `${name}-${boots}`;
        return Promise.resolve(Ok({ ok, boot, running: 0 }));
      },
    };
  }
}

function makeHost(name: string): Host {
  return {
    name,
    zone: "z",
    rack: "r",
    address: `http://${name}`,
    slots: 2,
    connections: 8,
    pool: "p",
    state: "serving",
    epoch: 1,
  };
}
