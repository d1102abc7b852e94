/**
 * An entry without its ports: the request pipeline, the platform poller, the
 * peer protocol, and the jobs. It reaches the platform, the endpoints and the
 * network through interfaces only, so tests can replace them.
 */
import { ActorSystem } from "../actors/index.ts";
import { delay, IdSource } from "../clock/index.ts";
import { epochSum, type FleetEffect, type FleetState } from "../fleet/index.ts";
import { JobRunner, JobService, JobStore } from "../jobs/index.ts";
import type {
  Heartbeat,
  Hello,
  Message,
  PeerMember,
  PeerNetwork,
} from "../peers/index.ts";
import {
  Admission,
  Executor,
  LocalSlots,
  Router,
  SlotClient,
  SlotScheduler,
  SlotServer,
} from "../pipeline/index.ts";
import { diffTables, Table } from "../table/index.ts";
import type { CoreDependencies } from "./core_dependencies.ts";
import { Confirmations } from "./confirmations.ts";
import { FleetActor } from "./fleet_actor.ts";
import { PlatformPoller } from "./platform_poller.ts";
import { Operations } from "./operations.ts";
import { Ownership } from "./ownership.ts";
import { PauseGuard } from "./pause_guard.ts";
import { PeerLoadTable } from "./peer_loads.ts";

/** Interval in ms between two sweeps of the request queues. */
const sweepIntervalMs = 20;
/** Interval in ms between two checks for work in flight at shutdown. */
const shutdownPollMs = 20;

/** Holds the state of one entry and runs its loops. */
export class EntryCore {
  readonly ids: IdSource;
  readonly scheduler: SlotScheduler;
  readonly pauseGuard: PauseGuard;
  readonly network: PeerNetwork;
  readonly fleet: FleetActor;
  readonly executor: Executor;
  readonly admission: Admission;
  readonly slotClient: SlotClient;
  readonly jobStore: JobStore;
  readonly jobRunner: JobRunner;
  readonly jobs: JobService;
  readonly ownership: Ownership;
  readonly operations: Operations;
  readonly #actors: ActorSystem;
  readonly #peerLoads = new PeerLoadTable();
  readonly #slotServer: SlotServer;
  readonly #router: Router;
  readonly #poller: PlatformPoller;
  readonly #confirmations: Confirmations;
  /**
   * Entries whose link closed less than `takeover_ms` ago. They still count as
   * owners, so a short interruption of a link reassigns no host.
   */
  readonly #departedPeers = new Map<string, PeerMember>();
  #shuttingDown = false;

  constructor(private readonly deps: CoreDependencies) {
    const { clock, random, self, platform, endpoints, events } = deps;
    const { mechanisms } = deps;
    this.ids = new IdSource(self.incarnation);
    this.scheduler = new SlotScheduler(clock, random);
    this.admission = new Admission(clock);
    this.#actors = new ActorSystem(clock, events.onActorFailed);
    this.pauseGuard = new PauseGuard(clock, deps.timing.pause_ms, () => {
      events.warn("process was paused; sending is blocked");
    });
    this.network = deps.createNetwork(
      {
        kind: "hello",
        entry: self.entry,
        incarnation: self.incarnation,
        zone: self.zone,
        token: deps.token,
      },
      {
        buildHeartbeat: () => this.#buildHeartbeat(),
        onPeerJoined: (hello) => this.#handlePeerJoined(hello),
        onMessage: (hello, message) =>
          this.#handleMessage(hello.entry, message),
        onPeerLeft: (hello, reason) => this.#handlePeerLeft(hello, reason),
        onBadFrame: (from, err) =>
          events.onBadFrame(from, err.message, err.code.code),
      },
    );
    this.fleet = new FleetActor(
      this.#actors,
      mechanisms.applyFleetEvent,
      (effect) => this.#executeEffect(effect),
      (state, before) => this.#handleFleetChange(state, before),
    );
    const localSlots = new LocalSlots(
      this.scheduler,
      endpoints,
      mechanisms.wrapSendGuard(this.pauseGuard),
      clock,
    );
    const table = () => this.table;
    this.slotClient = new SlotClient(this.network, this.ids, clock);
    this.#slotServer = new SlotServer(
      this.scheduler,
      localSlots,
      this.network,
      table,
      clock,
    );
    this.#router = new Router(
      this.scheduler,
      localSlots,
      this.slotClient,
      this.#peerLoads,
      this.ids,
      clock,
      random,
    );
    this.executor = new Executor(this.#router, this.ids, clock);
    this.ownership = new Ownership({
      scheduler: this.scheduler,
      endpoints,
      clock,
      entry: self.entry,
      zone: self.zone,
      incarnation: self.incarnation,
    });
    this.#poller = new PlatformPoller({
      platform,
      guard: this.pauseGuard,
      ids: this.ids,
      clock,
      random,
      pollMs: deps.timing.poll_ms,
      self,
      state: () => this.fleet.state,
      members: () => this.network.members(),
      sendEvent: (event) => this.fleet.send(event),
      isShuttingDown: () => this.#shuttingDown,
    });
    this.#confirmations = new Confirmations({
      entry: self.entry,
      incarnation: self.incarnation,
      ids: this.ids,
      clock,
      state: () => this.fleet.state,
      inFlight: (host) => this.scheduler.inFlight(host),
      members: () => this.network.members(),
      send: (to, message) => this.network.send(to, message),
    });
    this.jobStore = new JobStore(platform);
    this.jobRunner = new JobRunner({
      store: this.jobStore,
      router: this.#router,
      endpoints,
      ids: this.ids,
      clock,
      commitStartBeforeSend: mechanisms.commitStartBeforeSend,
      table,
      hosts: () => this.fleet.state.hosts,
    });
    this.jobs = new JobService({
      store: this.jobStore,
      runner: this.jobRunner,
      claimer: { entry: self.entry, incarnation: self.incarnation },
      ids: this.ids,
      clock,
    });
    this.operations = new Operations({
      ...deps,
      ids: this.ids,
      scheduler: this.scheduler,
      network: this.network,
      fleet: this.fleet,
      confirmer: mechanisms.wrapConfirmer(this.#confirmations),
      jobStore: this.jobStore,
      jobs: this.jobs,
      runner: this.jobRunner,
    });
  }

  /** The table in force on this entry. */
  get table(): Table {
    return this.fleet.state.table;
  }

  /** Whether a shutdown has begun. */
  get isShuttingDown(): boolean {
    return this.#shuttingDown;
  }

  /** Opens the links to the peers and starts the loops. */
  async start(): Promise<void> {
    this.network.setAddresses(this.deps.seeds);
    this.pauseGuard.start();
    await this.network.start();
    this.startLoop("follow", () => this.#pollPlatform());
    this.startLoop("sweep", () => this.#sweep());
    this.startLoop("control", () => this.operations.runControlRound());
    this.startLoop("eject", () => this.operations.updateEjections());
  }

  /**
   * Calls `tick` repeatedly until the entry stops; `tick` returns the pause
   * until the next call in ms.
   */
  startLoop(name: string, tick: () => Promise<number>): void {
    this.#actors.loop(name, tick);
  }

  /**
   * Begins a shutdown: starts no new work, gives up all owned hosts, and tells
   * the peers, so they take the hosts over.
   */
  beginShutdown(): void {
    this.#shuttingDown = true;
    this.operations.stop();
    this.jobRunner.stop();
    this.#updateOwnership();
    this.network.broadcast(this.#buildHeartbeat());
  }

  /**
   * Ends a shutdown: waits for work in flight up to a time limit in ms, then
   * deregisters, releases the controller's lease, and stops.
   */
  async finishShutdown(timeoutMs: number): Promise<void> {
    const { clock } = this.deps;
    const deadline = clock.now() + timeoutMs;
    while (this.scheduler.totalInFlight() > 0 && clock.now() < deadline) {
      await delay(clock, shutdownPollMs);
    }
    await this.#poller.deregister();
    await this.operations.releaseLease();
    this.stop();
  }

  /** Stops at once, without deregistration or release of the lease. */
  stop(): void {
    this.#actors.stop();
    this.pauseGuard.stop();
    this.network.stop();
  }

  async #pollPlatform(): Promise<number> {
    const pause = await this.#poller.poll();
    this.#updateOwnership();
    return pause;
  }

  /** Refuses expired tickets; moves waiting ones to entries with free slots. */
  #sweep(): Promise<number> {
    this.scheduler.sweep();
    this.#router.rebalance();
    return Promise.resolve(sweepIntervalMs);
  }

  #buildHeartbeat(): Heartbeat {
    const loads: Heartbeat["loads"] = {};
    for (const pool of this.scheduler.pools()) {
      loads[pool] = this.scheduler.load(pool);
    }
    return {
      kind: "heartbeat",
      tableVersion: this.table.version,
      epochSum: epochSum(this.fleet.state),
      loads,
      busy: Object.fromEntries(this.scheduler.busyByHost()),
      shuttingDown: this.#shuttingDown,
    };
  }

  #executeEffect(effect: FleetEffect): void {
    switch (effect.kind) {
      case "push-table": {
        const delta = diffTables(effect.base, effect.next);
        this.network.broadcast({ kind: "table", delta });
        const { version } = effect.next;
        this.deps.events.info("table in force", { version });
        break;
      }
      case "ask-table":
        this.network.send(effect.peer, { kind: "table-request" });
        break;
      case "push-hosts":
        this.network.broadcast({
          kind: "hosts",
          rows: [...effect.rows],
          unlisted: [...effect.unlisted],
        });
        break;
    }
  }

  #handleFleetChange(state: FleetState, before: FleetState): void {
    if (state.table !== before.table) {
      this.network.broadcast(this.#buildHeartbeat());
    }
    this.operations.recordMoves(state, before);
    const addresses = new Set(this.deps.seeds);
    for (const row of state.registrations.values()) {
      for (const entry of row.entries) addresses.add(entry.peer);
    }
    this.network.setAddresses(addresses);
    this.#updateOwnership();
  }

  /** Recomputes which hosts this entry owns. */
  #updateOwnership(): void {
    const mayOwn = this.pauseGuard.maySend() && !this.#shuttingDown;
    const members = this.network.members();
    const connected = new Set(members.map((m) => m.hello.entry));
    const departed = [...this.#departedPeers.values()]
      .filter((m) => !connected.has(m.hello.entry));
    this.ownership.update(this.fleet.state, [...members, ...departed], mayOwn);
  }

  #handlePeerJoined(hello: Hello): void {
    this.deps.events.info("peer joined", { peer: hello.entry });
    this.#departedPeers.delete(hello.entry);
    this.#updateOwnership();
  }

  #handlePeerLeft(hello: Hello, reason: string): void {
    const { entry } = hello;
    this.deps.events.info("peer left", { peer: entry, reason });
    this.#peerLoads.remove(entry);
    this.slotClient.handlePeerLeft(entry);
    this.#slotServer.handlePeerLeft(entry);
    const departed: PeerMember = { hello, heartbeat: undefined };
    this.#departedPeers.set(entry, departed);
    this.deps.clock.after(this.deps.timing.takeover_ms, () => {
      if (this.#departedPeers.get(entry) !== departed) return;
      this.#departedPeers.delete(entry);
      this.#updateOwnership();
    });
  }

  #handleMessage(entry: string, message: Message): void {
    if (this.slotClient.handle(entry, message)) return;
    if (this.#slotServer.handle(entry, message)) return;
    switch (message.kind) {
      case "heartbeat":
        this.#handleHeartbeat(entry, message);
        break;
      case "table":
        this.fleet.send({ kind: "delta", delta: message.delta, from: entry });
        break;
      case "table-request": {
        const delta = diffTables(Table.empty, this.table);
        this.network.send(entry, { kind: "table", delta });
        break;
      }
      case "hosts":
        this.fleet.send({ kind: "hosts", rows: message.rows });
        this.fleet.send({ kind: "unlisted", names: message.unlisted });
        break;
      case "hosts-request": {
        const { hosts, unlisted } = this.fleet.state;
        this.network.send(entry, {
          kind: "hosts",
          rows: [...hosts.values()],
          unlisted: [...unlisted],
        });
        break;
      }
      case "confirm":
        this.#confirmations.handleRequest(entry, message);
        break;
      case "confirmed":
        this.#confirmations.handleAnswer(message);
        break;
    }
  }

  /**
   * Stores the loads that a peer reports, and requests its table or host rows
   * if they are newer than this entry's.
   */
  #handleHeartbeat(entry: string, heartbeat: Heartbeat): void {
    this.#peerLoads.replace(entry, heartbeat.loads);
    if (heartbeat.tableVersion > this.table.version) {
      this.network.send(entry, { kind: "table-request" });
    }
    if (heartbeat.epochSum > epochSum(this.fleet.state)) {
      this.network.send(entry, { kind: "hosts-request" });
    }
    if (heartbeat.shuttingDown) this.#updateOwnership();
  }
}
