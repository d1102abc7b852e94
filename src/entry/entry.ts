/**
 * One entry host's process: assembles the pipeline, the follower, the peer
 * links, the controller, and the ports, and runs them until shutdown.
 */
import { ActorSystem } from "../actors/index.ts";
import { Receiver, type RequestEnd } from "../caller/index.ts";
import {
  type Clock,
  delay,
  IdSource,
  newIncarnation,
  type Random,
  systemClock,
} from "../clock/index.ts";
import { HttpEndpointClient } from "../endpoint/index.ts";
import { codes, describeError, type ResultCode } from "../errors/index.ts";
import { epochSum, type FleetEffect, type FleetState } from "../fleet/index.ts";
import {
  type Claimer,
  JobRecovery,
  JobRunner,
  JobService,
  JobStore,
} from "../jobs/index.ts";
import {
  Controller,
  drainHost,
  ejectFromPool,
  Lease,
  nextMove,
  reinstateInPool,
} from "../maintenance/index.ts";
import { OperatorApi } from "../operator/index.ts";
import {
  type Heartbeat,
  type Hello,
  type Member,
  Mesh,
  type Message,
  splitAddress,
} from "../peers/index.ts";
import {
  Admission,
  Executor,
  LocalSlots,
  Router,
  Scheduler,
  SlotClient,
  SlotServer,
} from "../pipeline/index.ts";
import { HttpPlatform } from "../platform/index.ts";
import type { Settings } from "../settings/index.ts";
import { diffTables, Table } from "../table/index.ts";
import { createLog, createMetrics, logRequest } from "../telemetry/index.ts";
import { Confirmations } from "./confirmations.ts";
import { FleetKeeper } from "./fleet_keeper.ts";
import { Follower } from "./follower.ts";
import { Ownership } from "./ownership.ts";
import { PauseGuard } from "./pause_guard.ts";
import { PeerLoadTable } from "./peer_loads.ts";
import { fleetPressure } from "./pressure.ts";

const sweepMs = 20;
const activeRoundMs = 150;
const recoveryMs = 1_000;
const ejectionMs = 500;
const gaugeMs = 5_000;
const drainPollMs = 20;

/** A running entry. */
export class Entry {
  readonly #clock: Clock = systemClock;
  readonly #random: Random = Math.random;
  readonly #incarnation = newIncarnation(this.#clock, this.#random);
  readonly #ids = new IdSource(this.#incarnation);
  readonly #log;
  readonly #metrics;
  readonly #platform: HttpPlatform;
  readonly #endpoints = new HttpEndpointClient();
  readonly #scheduler = new Scheduler(this.#clock, this.#random);
  readonly #guard: PauseGuard;
  readonly #actors: ActorSystem;
  readonly #fleet: FleetKeeper;
  readonly #mesh: Mesh;
  readonly #loads = new PeerLoadTable();
  readonly #client: SlotClient;
  readonly #server: SlotServer;
  readonly #router: Router;
  readonly #executor: Executor;
  readonly #admission = new Admission(this.#clock);
  readonly #ownership: Ownership;
  readonly #follower: Follower;
  readonly #confirmations: Confirmations;
  readonly #jobStore: JobStore;
  readonly #runner: JobRunner;
  readonly #jobs: JobService;
  readonly #recovery: JobRecovery;
  readonly #lease: Lease;
  readonly #controller: Controller;
  readonly #receiver: Receiver;
  readonly #operator: OperatorApi;
  /** Entries whose link broke, until their hosts are taken over. */
  readonly #departed = new Map<string, Departed>();
  readonly #movedAt = new Map<string, number>();
  readonly #ejected = new Set<string>();
  #nextRecoveryAt = 0;
  #shuttingDown = false;

  constructor(private readonly settings: Settings) {
    const { entry, peer, platform, timing } = settings;
    this.#log = createLog(settings);
    this.#metrics = createMetrics(settings);
    this.#platform = new HttpPlatform({
      url: platform.url,
      zone: entry.zone,
      callTimeoutMs: platform.call_timeout_ms,
      commitTimeoutMs: platform.commit_timeout_ms,
    });
    this.#actors = new ActorSystem(this.#clock, (actor, err) => {
      this.#log.error({ actor, err: describeError(err) }, "actor failed");
    });
    this.#guard = new PauseGuard(this.#clock, timing.pause_ms, () => {
      this.#log.warn("process was paused; sending is blocked");
    });
    const self = {
      entry: entry.id,
      incarnation: this.#incarnation,
      zone: entry.zone,
      peer: peer.address,
    };
    this.#mesh = new Mesh(
      {
        hello: {
          kind: "hello",
          entry: entry.id,
          incarnation: this.#incarnation,
          zone: entry.zone,
          token: peer.token,
        },
        address: peer.address,
        dial: peer.dial,
        heartbeatMs: timing.heartbeat_ms,
        silenceMs: timing.silence_ms,
      },
      this.#clock,
      {
        heartbeat: () => this.#heartbeat(),
        joined: (hello) => this.#joined(hello),
        received: (hello, message) => this.#received(hello, message),
        left: (hello, reason) => this.#left(hello, reason),
        badFrame: (from, err) => {
          this.#metrics.badFrame();
          this.#log.warn({ peer: from, code: err.code.code }, err.message);
        },
      },
    );
    this.#fleet = new FleetKeeper(
      this.#actors,
      (effect) => this.#carryOut(effect),
      (state, before) => this.#fleetChanged(state, before),
    );
    const local = new LocalSlots(
      this.#scheduler,
      this.#endpoints,
      this.#guard,
      this.#clock,
    );
    this.#client = new SlotClient(this.#mesh, this.#ids, this.#clock);
    this.#server = new SlotServer(
      this.#scheduler,
      local,
      this.#mesh,
      () => this.#table(),
      this.#clock,
    );
    this.#router = new Router(
      this.#scheduler,
      local,
      this.#client,
      this.#loads,
      this.#ids,
      this.#clock,
      this.#random,
    );
    this.#executor = new Executor(this.#router, this.#ids, this.#clock);
    this.#ownership = new Ownership({
      scheduler: this.#scheduler,
      endpoints: this.#endpoints,
      clock: this.#clock,
      entry: entry.id,
      zone: entry.zone,
      incarnation: this.#incarnation,
    });
    this.#follower = new Follower({
      platform: this.#platform,
      guard: this.#guard,
      ids: this.#ids,
      clock: this.#clock,
      random: this.#random,
      pollMs: timing.poll_ms,
      self,
      state: () => this.#fleet.state,
      members: () => this.#mesh.members(),
      tell: (event) => this.#fleet.tell(event),
      isShuttingDown: () => this.#shuttingDown,
    });
    this.#confirmations = new Confirmations({
      entry: entry.id,
      incarnation: this.#incarnation,
      ids: this.#ids,
      clock: this.#clock,
      state: () => this.#fleet.state,
      inFlight: (host) => this.#scheduler.inFlight(host),
      members: () => this.#mesh.members(),
      send: (to, message) => this.#mesh.send(to, message),
    });
    const claimer: Claimer = {
      entry: entry.id,
      incarnation: this.#incarnation,
    };
    this.#jobStore = new JobStore(this.#platform);
    this.#runner = new JobRunner({
      store: this.#jobStore,
      router: this.#router,
      endpoints: this.#endpoints,
      ids: this.#ids,
      clock: this.#clock,
      table: () => this.#table(),
      hosts: () => this.#fleet.state.hosts,
    });
    this.#jobs = new JobService({
      store: this.#jobStore,
      runner: this.#runner,
      claimer,
      ids: this.#ids,
      clock: this.#clock,
    });
    this.#recovery = new JobRecovery({
      store: this.#jobStore,
      service: this.#jobs,
      runner: this.#runner,
      ids: this.#ids,
      isGone: (other) => this.#isGone(other),
    });
    this.#lease = new Lease(
      this.#platform.table,
      {
        holder: entry.id,
        incarnation: this.#incarnation,
        leaseMs: timing.lease_ms,
        renewMs: timing.lease_ms / 3,
      },
      this.#ids,
      this.#clock,
    );
    this.#controller = new Controller({
      platform: this.#platform,
      endpoints: this.#endpoints,
      confirmer: this.#confirmations,
      ids: this.#ids,
      clock: this.#clock,
      settings: { listLagMs: platform.list_lag_ms, bootMs: timing.boot_ms },
      name: entry.id,
      table: () => this.#table(),
      learned: (rows) => this.#fleet.tell({ kind: "hosts", rows }),
    });
    this.#receiver = new Receiver({
      limits: {
        headerBytes: settings.limits.header_bytes,
        bodyBytes: settings.limits.body_bytes,
        requestMs: settings.limits.request_ms,
        connections: settings.limits.connections,
      },
      admission: this.#admission,
      executor: this.#executor,
      jobs: this.#jobs,
      jobStore: this.#jobStore,
      ids: this.#ids,
      clock: this.#clock,
      table: () => this.#table(),
      liveEntries: () => this.#mesh.members().length + 1,
      unready: () => this.#unready(),
      ended: (end) => this.#ended(end),
    });
    this.#operator = new OperatorApi({
      token: settings.operator.token,
      entry: entry.id,
      zone: entry.zone,
      platform: this.#platform,
      endpoints: this.#endpoints,
      jobs: this.#jobs,
      ids: this.#ids,
      clock: this.#clock,
      state: () => this.#fleet.state,
      members: () => this.#mesh.members(),
      tell: (event) => this.#fleet.tell(event),
      status: () => ({
        ready: this.#unready() === undefined,
        controller: this.#lease.term !== undefined,
        ownedHosts: this.#ownership.size,
        inFlight: this.#scheduler.totalInFlight(),
        jobs: this.#runner.size,
        pauses: this.#guard.pauses,
        retries: this.#executor.counts.retries,
        platform: { ...this.#platform.use },
        peers: { ...this.#mesh.traffic },
      }),
    });
  }

  /** Opens the ports and starts the loops. */
  async start(): Promise<void> {
    const { settings } = this;
    this.#mesh.setAddresses(settings.peer.seeds);
    this.#guard.start();
    await this.#mesh.start();
    await this.#receiver.listen(...splitAddress(settings.caller.address));
    await this.#operator.listen(...splitAddress(settings.operator.address));
    this.#actors.loop("follow", () => this.#follow());
    this.#actors.loop("control", () => this.#control());
    this.#actors.loop("eject", () => this.#eject());
    this.#actors.loop("sweep", () => this.#sweep());
    this.#actors.loop("gauges", () => this.#reportGauges());
    this.#log.info({ incarnation: this.#incarnation }, "entry started");
  }

  /**
   * Stops without cutting a request: refuses new ones, hands the hosts over,
   * lets the work in flight finish, and deregisters.
   */
  async shutdown(): Promise<void> {
    if (this.#shuttingDown) return;
    this.#shuttingDown = true;
    this.#log.info("shutting down");
    this.#runner.stop();
    this.#updateOwnership();
    this.#mesh.broadcast(this.#heartbeat());
    const limitMs = this.settings.limits.shutdown_ms;
    const giveUpAt = this.#clock.now() + limitMs;
    await this.#receiver.close(limitMs);
    while (
      this.#scheduler.totalInFlight() > 0 && this.#clock.now() < giveUpAt
    ) {
      await delay(this.#clock, drainPollMs);
    }
    await this.#follower.deregister();
    await this.#lease.giveUp();
    this.#actors.stop();
    this.#guard.stop();
    this.#mesh.stop();
    await this.#operator.close();
    await this.#endpoints.close();
    await this.#platform.close();
    this.#metrics.close();
    this.#log.info("stopped");
  }

  async #follow(): Promise<number> {
    const pause = await this.#follower.poll();
    this.#updateOwnership();
    return pause;
  }

  #table(): Table {
    return this.#fleet.state.table;
  }

  #unready(): ResultCode | undefined {
    if (this.#shuttingDown) return codes.shuttingDown;
    return this.#table().version === 0 ? codes.notReady : undefined;
  }

  #ended(end: RequestEnd): void {
    this.#metrics.request(end);
    logRequest(this.#log, this.settings.log.requests, end);
  }

  #heartbeat(): Heartbeat {
    const loads: Heartbeat["loads"] = {};
    for (const pool of this.#scheduler.pools()) {
      loads[pool] = this.#scheduler.load(pool);
    }
    return {
      kind: "heartbeat",
      tableVersion: this.#table().version,
      epochSum: epochSum(this.#fleet.state),
      loads,
      busy: Object.fromEntries(this.#scheduler.busyByHost()),
      shuttingDown: this.#shuttingDown,
    };
  }

  #carryOut(effect: FleetEffect): void {
    switch (effect.kind) {
      case "push-table": {
        const delta = diffTables(effect.base, effect.next);
        this.#mesh.broadcast({ kind: "table", delta });
        this.#log.info({ version: effect.next.version }, "table in force");
        break;
      }
      case "ask-table":
        this.#mesh.send(effect.peer, { kind: "table-request" });
        break;
      case "push-hosts": {
        const { rows, unlisted } = effect;
        this.#mesh.broadcast({
          kind: "hosts",
          rows: [...rows],
          unlisted: [...unlisted],
        });
        break;
      }
    }
  }

  #fleetChanged(state: FleetState, before: FleetState): void {
    if (state.table !== before.table) this.#mesh.broadcast(this.#heartbeat());
    this.#noteMoves(state, before);
    const addresses = new Set(this.settings.peer.seeds);
    for (const row of state.registrations.values()) {
      for (const entry of row.entries) addresses.add(entry.peer);
    }
    this.#mesh.setAddresses(addresses);
    this.#updateOwnership();
  }

  #noteMoves(state: FleetState, before: FleetState): void {
    for (const host of state.hosts.values()) {
      const known = before.hosts.get(host.name);
      if (known === undefined || known.pool === host.pool) continue;
      this.#movedAt.set(host.name, this.#clock.now());
    }
  }

  #updateOwnership(): void {
    const mayOwn = this.#guard.maySend() && !this.#shuttingDown;
    const members = this.#mesh.members();
    const connected = new Set(members.map((m) => m.hello.entry));
    const departed = [...this.#departed.values()]
      .map((d) => d.member)
      .filter((m) => !connected.has(m.hello.entry));
    this.#ownership.update(
      this.#fleet.state,
      [...members, ...departed],
      mayOwn,
    );
  }

  #joined(hello: Hello): void {
    this.#log.info({ peer: hello.entry }, "peer joined");
    this.#departed.delete(hello.entry);
    this.#updateOwnership();
  }

  #left(hello: Hello, reason: string): void {
    this.#log.info({ peer: hello.entry, reason }, "peer left");
    this.#loads.remove(hello.entry);
    this.#client.peerLeft(hello.entry);
    this.#server.peerLeft(hello.entry);
    const member: Member = { hello, heartbeat: undefined };
    const departed = { member, at: this.#clock.now() };
    this.#departed.set(hello.entry, departed);
    this.#clock.after(this.settings.timing.takeover_ms, () => {
      if (this.#departed.get(hello.entry) !== departed) return;
      this.#departed.delete(hello.entry);
      this.#updateOwnership();
    });
  }

  #received(hello: Hello, message: Message): void {
    const { entry } = hello;
    if (this.#client.handle(entry, message)) return;
    if (this.#server.handle(entry, message)) return;
    switch (message.kind) {
      case "heartbeat":
        this.#heard(entry, message);
        break;
      case "table":
        this.#fleet.tell({ kind: "delta", delta: message.delta, from: entry });
        break;
      case "table-request": {
        const delta = diffTables(Table.empty, this.#table());
        this.#mesh.send(entry, { kind: "table", delta });
        break;
      }
      case "hosts":
        this.#fleet.tell({ kind: "hosts", rows: message.rows });
        this.#fleet.tell({ kind: "unlisted", names: message.unlisted });
        break;
      case "hosts-request": {
        const { hosts, unlisted } = this.#fleet.state;
        this.#mesh.send(entry, {
          kind: "hosts",
          rows: [...hosts.values()],
          unlisted: [...unlisted],
        });
        break;
      }
      case "confirm":
        this.#confirmations.answer(entry, message);
        break;
      case "confirmed":
        this.#confirmations.answered(message);
        break;
    }
  }

  #heard(entry: string, heartbeat: Heartbeat): void {
    this.#loads.replace(entry, heartbeat.loads);
    if (heartbeat.tableVersion > this.#table().version) {
      this.#mesh.send(entry, { kind: "table-request" });
    }
    if (heartbeat.epochSum > epochSum(this.#fleet.state)) {
      this.#mesh.send(entry, { kind: "hosts-request" });
    }
    if (heartbeat.shuttingDown) this.#updateOwnership();
  }

  #sweep(): Promise<number> {
    this.#scheduler.sweep();
    this.#router.rebalance();
    return Promise.resolve(sweepMs);
  }

  async #control(): Promise<number> {
    const pollMs = this.settings.timing.poll_ms;
    if (this.#shuttingDown) return pollMs;
    await this.#lease.keep();
    const { term } = this.#lease;
    if (term === undefined) return pollMs;
    const active = await this.#controller.round(term);
    const moved = await this.#moveHosts(term);
    await this.#recoverJobs();
    return active || moved ? activeRoundMs : pollMs;
  }

  async #recoverJobs(): Promise<void> {
    const now = this.#clock.now();
    if (now < this.#nextRecoveryAt) return;
    this.#nextRecoveryAt = now + recoveryMs;
    await this.#recovery.sweep();
  }

  async #moveHosts(
    term: NonNullable<Lease["term"]>,
  ): Promise<boolean> {
    if (!this.settings.moves.enabled) return false;
    const { hosts, table } = this.#fleet.state;
    const pressure = fleetPressure(
      table,
      this.#scheduler,
      this.#mesh.members(),
    );
    const move = nextMove({
      ...pressure,
      hosts,
      movedAt: this.#movedAt,
      now: this.#clock.now(),
      minStayMs: this.settings.timing.min_stay_ms,
    });
    if (move === undefined) return false;
    const drained = await drainHost(
      { platform: this.#platform, endpoints: this.#endpoints },
      { host: move.host, target: move.to, cause: "move", checks: [term] },
      this.#changeContext(),
    );
    if (drained.err) return false;
    this.#fleet.tell({ kind: "hosts", rows: [drained.val.host] });
    return true;
  }

  /** Ejects suspect hosts within the budget, and reinstates sound ones. */
  async #eject(): Promise<number> {
    const parts = { platform: this.#platform, endpoints: this.#endpoints };
    for (const host of this.#scheduler.suspects()) {
      const ctx = this.#changeContext();
      const ejected = await ejectFromPool(parts, host.name, ctx);
      if (ejected.err) continue;
      this.#scheduler.eject(host.name);
      this.#ejected.add(host.name);
      this.#log.warn({ host: host.name }, "host ejected");
    }
    for (const host of this.#scheduler.soundHosts()) {
      if (!this.#ejected.has(host.name)) continue;
      const ctx = this.#changeContext();
      const back = await reinstateInPool(parts, host.name, ctx);
      if (back.ok) this.#ejected.delete(host.name);
    }
    return ejectionMs;
  }

  #changeContext() {
    return {
      who: this.settings.entry.id,
      at: this.#clock.wall(),
      operation: this.#ids.next(),
    };
  }

  #isGone(claimer: Claimer): boolean {
    const { entry, incarnation } = claimer;
    if (incarnation === this.#incarnation) return false;
    const connected = this.#mesh.members().some((m) =>
      m.hello.entry === entry && m.hello.incarnation === incarnation
    );
    if (connected) {
      this.#lastSeen.set(incarnation, this.#clock.now());
      return false;
    }
    const seen = this.#lastSeen.get(incarnation);
    if (seen === undefined) {
      this.#lastSeen.set(incarnation, this.#clock.now());
      return false;
    }
    return this.#clock.now() - seen > this.settings.timing.orphan_ms;
  }

  /** Monotonic time in ms at which each claimer was last connected. */
  readonly #lastSeen = new Map<string, number>();

  #reportGauges(): Promise<number> {
    this.#metrics.gauges({
      tableVersion: this.#table().version,
      peers: this.#mesh.members().length,
      inFlight: this.#scheduler.totalInFlight(),
      openRequests: this.#receiver.open,
      jobs: this.#runner.size,
      retries: this.#executor.counts.retries,
      retriesSuppressed: this.#executor.counts.suppressed,
      lateFrames: this.#client.lateFrames,
      peerBytesOut: this.#mesh.traffic.bytesOut,
      platformReads: this.#platform.use.readCalls,
      platformCommits: this.#platform.use.commitCalls,
    });
    return Promise.resolve(gaugeMs);
  }
}

interface Departed {
  readonly member: Member;
  /** Monotonic time in ms. */
  readonly at: number;
}
