/**
 * Deterministic simulation of batch jobs: several real entries on a virtual
 * clock, with models of the store, endpoints, hosts and callers, and an oracle
 * that checks the outcome.
 */
import { CatalogHolder } from "../src/catalog/index.ts";
import {
  type JobSpec,
  occurrenceCount,
  type Resources,
} from "../src/batch/index.ts";
import { EndpointRegistry } from "../src/endpoint/index.ts";
import { BatchService } from "../src/service/index.ts";
import type { Store } from "../src/store/index.ts";
import type { RequestedWave } from "../src/upkeep/index.ts";
import { LostWatch } from "./lost_watch.ts";
import { ModelAdvisor } from "./model_advisor.ts";
import type { ModelEndpoint } from "./model_endpoint.ts";
import { ModelGangs } from "./model_gangs.ts";
import { type ModelHost, ModelHosts } from "./model_hosts.ts";
import { ModelLink } from "./model_link.ts";
import { type KeptOrders, ModelOrders } from "./model_orders.ts";
import {
  type ForeignRowKind,
  ModelRegistrations,
} from "./model_registrations.ts";
import { ModelStore } from "./model_store.ts";
import { OperatorCatalog } from "./operator_catalog.ts";
import { BatchOracle } from "./oracle.ts";
import { mulberry32 } from "./random.ts";
import { type TaskModelOptions, TaskModels } from "./task_models.ts";
import type { Limits, WorkspaceName } from "./workspaces.ts";
import { ProcessClock, VirtualClock } from "./virtual_clock.ts";

/** Longest step by which the clock advances at once, in ms. */
const maxClockStepMs = 10;

/** Share by which the endpoints' clocks run slow. */
const clockDrift = 0.015;

/** Time after which an entry that can't read the catalog tries again, in ms. */
const catalogRetryMs = 100;

/** Size and seed of a simulation. */
export interface BatchSimulationOptions extends TaskModelOptions {
  /** Number of entries. */
  readonly entries: number;
  readonly hostsPerPool: number;
  /** Rate of each entry's link, in bytes per ms; default without a limit. */
  readonly linkBytesPerMs?: number;
  /** Limits of the workspaces; without them the catalog lists none. */
  readonly limits?: Limits;
}

/** One process of an entry. */
interface ModelEntry {
  readonly name: string;
  readonly process: ProcessClock;
  readonly store: Store;
  readonly orders: ModelOrders;
  readonly catalog: CatalogHolder;
  readonly registry: EndpointRegistry;
  readonly service: BatchService;
}

/**
 * A simulated fleet. A test submits jobs and starts disturbances, advances
 * the clock, and ends with `endDisturbances`, `advance` and `finish`.
 */
export class BatchSimulation {
  readonly clock = new VirtualClock();
  readonly oracle = new BatchOracle(
    () => this.clock.now(),
    (task) => this.#hosts.isAvailable(task),
  );
  readonly random: () => number;
  readonly store: ModelStore;
  readonly entries = new Map<string, ModelEntry>();
  /** Maintenance waves that the operator has requested. */
  readonly waves: RequestedWave[] = [];
  /** Last published state of each wave, by its id. */
  readonly waveStates = new Map<string, string>();
  /** Submitted jobs by id. */
  readonly jobSpecs = new Map<string, JobSpec>();
  /** Decisions of all entries: time in s, entry, event, fields as JSON. */
  readonly log: string[] = [];
  readonly advisor = new ModelAdvisor(this.clock);
  readonly #registrations: ModelRegistrations;
  readonly #hosts: ModelHosts;
  #bootCount = 0;
  readonly #catalog = new OperatorCatalog(this.oracle.quota);
  /** Share of start and stop orders that get no answer and take effect late. */
  lateShare = 0;

  constructor(readonly options: BatchSimulationOptions) {
    this.random = mulberry32(options.seed);
    this.store = new ModelStore(this.clock, this.random);
    this.#registrations = new ModelRegistrations(this.store, this.clock);
    const tasks = new TaskModels(options, this.jobSpecs, this.advisor);
    this.#hosts = new ModelHosts(
      options.hostsPerPool,
      {
        clock: this.clock,
        oracle: this.oracle,
        clockDrift,
        modelOf: (task) => tasks.of(task),
        gangs: new ModelGangs(this.clock),
      },
      this.#registrations,
      this.random,
    );
    const { limits } = options;
    if (limits !== undefined) this.#catalog.defineLimits(limits);
    for (let i = 0; i < options.entries; i++) this.startEntry(`entry-${i}`);
  }

  /** The hosts and their endpoints. */
  get hosts(): readonly ModelHost[] {
    return this.#hosts.list;
  }

  /**
   * Advances the clock by `ms` in small steps, so that work that waits for
   * promises rather than timers progresses at the right time.
   */
  async advance(ms: number): Promise<void> {
    for (let remainingMs = ms; remainingMs > 0; remainingMs -= maxClockStepMs) {
      await this.clock.advance(Math.min(remainingMs, maxClockStepMs));
      await this.clock.flush();
    }
  }

  /** Starts an entry's process, or restarts it as a new process. */
  startEntry(name: string): void {
    const process = new ProcessClock(this.clock);
    const { linkBytesPerMs } = this.options;
    const link = linkBytesPerMs === undefined
      ? undefined
      : new ModelLink(this.clock, linkBytesPerMs);
    const store = this.store.connect(name, process, link);
    const orders = new ModelOrders(process, this.#hosts.network);
    orders.lateShare = this.lateShare;
    const catalog = new CatalogHolder();
    catalog.updateIfNewer(this.#catalog.newest);
    const registry = new EndpointRegistry();
    const service = new BatchService({
      self: {
        entry: name,
        boot: `${name}#${++this.#bootCount}`,
        zone: "zone",
        cores: 1,
      },
      store,
      orders,
      advisor: this.advisor.connect(process),
      control: this.#hosts.control(process),
      requestedWaves: {
        waves: () => this.waves,
        publish: (wave, state) => {
          this.waveStates.set(wave, state);
          return Promise.resolve(true);
        },
      },
      catalog,
      registry,
      followed: [{
        name: "registrations",
        watch: this.#registrations.watch(store, registry),
        waitMs: 1_000,
        pauseMs: 100,
        onlyWhileActive: true,
      }],
      clock: process,
      log: {
        decision: (event, fields) => {
          const at = (this.clock.now() / 1_000).toFixed(3);
          this.log.push(`${at} ${name} ${event} ${JSON.stringify(fields)}`);
        },
      },
      onCrash: (actor, err) => {
        this.oracle.violations.push(`CRASH of ${actor}: ${err}`);
      },
    });
    const entry = { name, process, store, orders, catalog, registry, service };
    this.entries.set(name, entry);
    service.start();
  }

  /** Name of the entry that owns a pool's shard, as its row says. */
  ownerOf(pool: string): string | undefined {
    const row = this.store.table("owner")
      .find(({ partition }) => partition === pool);
    return row === undefined ? undefined : JSON.parse(row.value).entry;
  }

  /** Kills an entry's process without a shutdown. */
  killEntry(name: string): void {
    this.entries.get(name)?.process.kill();
  }

  /**
   * Submits a job at an entry and records the answer. Only the error
   * `record-unavailable` counts as a rejection, since it says that the job was
   * not stored; after any other error the job may still run.
   */
  async submit(spec: JobSpec, entry: string): Promise<void> {
    this.jobSpecs.set(spec.id, spec);
    this.oracle.jobSubmitted({
      id: spec.id,
      payload: spec.payload,
      maxAttempts: spec.maxAttempts,
      steps: spec.steps,
      occurrences: occurrenceCount(spec),
      workspace: spec.workspace,
    });
    const { service, catalog } = this.#entry(entry);
    const answer = await service.intake.submit(
      this.#intakeRequest(catalog, spec, 3_000),
      spec,
    );
    const notRecorded = answer.err &&
      answer.val.code.name === "record-unavailable";
    this.oracle.submissionAnswered(
      spec.id,
      answer.ok ? "accepted" : notRecorded ? "rejected" : "unclear",
    );
  }

  /** Cancels a job at an entry and records success. */
  async cancel(id: string, entry: string): Promise<void> {
    const spec = this.jobSpecs.get(id);
    if (spec === undefined) return;
    this.oracle.cancellationSent(id);
    const { service, catalog } = this.#entry(entry);
    const answer = await service.intake.cancel(
      this.#intakeRequest(catalog, spec, 3_000),
    );
    if (answer.ok && answer.val) this.oracle.cancellationConfirmed(id);
  }

  /**
   * Sends a queue to another pool by a new version of the catalog, which is at
   * once in force at all entries but those that are named.
   */
  sendQueue(queue: string, pool: string, except: readonly string[] = []): void {
    this.#catalog.sendQueue(queue, pool);
    for (const entry of this.entries.values()) {
      if (except.includes(entry.name)) continue;
      entry.catalog.updateIfNewer(this.#catalog.newest);
    }
  }

  /**
   * Sets the limit of a workspace by a new version of the catalog. It is in
   * force at an entry as soon as that runs and reaches the store.
   */
  setLimit(workspace: WorkspaceName, limit: Resources): void {
    this.#catalog.setLimit(workspace, limit);
    for (const entry of this.entries.values()) this.#sendCatalog(entry);
  }

  /** Gives an entry the newest catalog once it can read it. */
  #sendCatalog({ name, process, catalog }: ModelEntry): void {
    if (process.isDead) return;
    if (!process.isPaused && this.store.serves(name)) {
      catalog.updateIfNewer(this.#catalog.newest);
      return;
    }
    this.clock.after(catalogRetryMs, () => {
      const entry = this.entries.get(name);
      if (entry !== undefined) this.#sendCatalog(entry);
    });
  }

  /** Crashes a host; it boots again with a new endpoint after `downMs`. */
  crashHost(index: number, downMs: number): void {
    this.#hosts.crash(index, downMs);
  }

  /**
   * Restarts an endpoint under its id; it is down for `downMs`. With `isDark`
   * its open connections fall silent instead of breaking.
   */
  restartEndpoint(index: number, downMs: number, isDark = false): void {
    this.#hosts.restart(index, downMs, isDark);
  }

  /**
   * Disconnects the endpoint of a host for `downMs` and removes its
   * registration; its tasks keep running.
   */
  isolateHost(index: number, downMs: number): void {
    this.#hosts.isolate(index, downMs);
  }

  /** Disconnects the endpoint of a host from all entries for `downMs`. */
  disconnectHost(index: number, downMs: number): void {
    this.#hosts.disconnect(index, downMs);
  }

  /**
   * Cuts the endpoint of a host off from the entries and the store for `ms`. Its
   * tasks keep running, and its row stays for `rowKeptMs`, as it goes only after
   * missed heartbeats. It writes its row again when the cut ends.
   */
  cutOffHost(index: number, ms: number, rowKeptMs: number): void {
    const { endpoint } = this.hosts[index % this.hosts.length];
    if (endpoint === undefined) return;
    endpoint.isIsolated = true;
    this.clock.after(ms, () => {
      endpoint.isIsolated = false;
    });
    const keptMs = Math.min(ms, rowKeptMs);
    this.clock.after(keptMs, () => this.#hosts.unlist(index, ms - keptMs));
  }

  /** Removes the registration of an endpoint for `ms`, though it lives. */
  unlistEndpoint(index: number, ms: number): void {
    this.#hosts.unlist(index, ms);
  }

  /**
   * Replaces the registration of an endpoint by another writer's row for `ms`.
   * `other` is the host whose endpoint's address or pool the row may name.
   */
  overwriteRegistration(
    index: number,
    other: number,
    kind: ForeignRowKind,
    ms: number,
  ): void {
    this.#hosts.overwriteRow(index, other, kind, ms);
  }

  /**
   * Sets an entry's registry back to its state `ageMs` ago, for `lagMs`, as a
   * full read from a replica that lags does.
   */
  setRegistryBack(name: string, ageMs: number, lagMs: number): void {
    const entry = this.entries.get(name);
    if (entry === undefined || entry.process.isDead) return;
    this.#registrations.setBack(entry.registry, ageMs, lagMs);
  }

  /** Whether the provider of hosts lists none, so that none is moved. */
  set isProviderAway(isAway: boolean) {
    this.#hosts.isProviderAway = isAway;
  }

  /**
   * Begins to watch for work that stands still. It is judged by the rule LOST;
   * jobs that don't last only after `endTraffic`.
   */
  watchLost(): LostWatch {
    const watch = new LostWatch({
      now: () => this.clock.now(),
      after: (ms, callback) => this.clock.after(ms, callback),
      openJobs: () => this.#openJobs(),
      poolOf: (job) => this.#poolOf(job),
      runsOf: (task) => this.oracle.runsOf(task),
      endpointsIn: (pool) => this.#endpointsIn(pool),
      hasRoomInLimit: ({ workspace }) =>
        workspace === undefined || this.oracle.quota.isUnderHalf(workspace),
      isDisturbed: () => this.#isDisturbed(),
      report: (rule, text) => this.oracle.report(rule, text),
    });
    watch.start();
    return watch;
  }

  /** Longest extra delay of an order or its answer in the network, in ms. */
  set maxOrderDelayMs(ms: number) {
    this.#hosts.network.maxExtraDelayMs = ms;
  }

  /** Orders of all entries that are kept on their way; undefined for none. */
  set keptOrders(kept: KeptOrders | undefined) {
    this.#hosts.network.kept = kept;
  }

  /** Ends all disturbances, and restarts or resumes all entries. */
  endDisturbances(): void {
    this.store.lostAnswerShare = 0;
    this.store.delayFactor = 1;
    this.store.setPartitionsDown(undefined);
    this.lateShare = 0;
    this.maxOrderDelayMs = 0;
    this.isProviderAway = false;
    this.keptOrders = undefined;
    this.#hosts.writeOwnRows();
    for (const entry of this.entries.values()) {
      this.store.setBehavior(entry.name, "serves");
      entry.orders.lateShare = 0;
      if (entry.process.isDead) this.startEntry(entry.name);
      else entry.process.resume();
    }
  }

  /** Queries the phase of every job and returns all violations of the run. */
  async finish(): Promise<readonly string[]> {
    const [{ service, catalog }] = [...this.entries.values()];
    const phases = new Map<string, string | undefined>();
    const queries = [...this.jobSpecs.values()].map(async (spec) => {
      const phase = await service.intake.jobPhase(
        this.#intakeRequest(catalog, spec, 5_000),
      );
      phases.set(spec.id, phase.ok ? phase.val : undefined);
    });
    await this.advance(6_000);
    await Promise.all(queries);
    this.oracle.checkFinalState(phases);
    return this.oracle.violations;
  }

  #openJobs(): readonly JobSpec[] {
    return this.oracle.openJobs().map((id) => this.jobSpecs.get(id))
      .filter((spec) => spec !== undefined);
  }

  #poolOf(spec: JobSpec): string {
    return this.#catalog.newest.queues.find(({ name }) => name === spec.queue)
      ?.pool ??
      "";
  }

  /** The endpoints of a pool that are up and that entries reach. */
  #endpointsIn(pool: string): readonly ModelEndpoint[] {
    return this.hosts.filter((host) =>
      host.pool === pool && host.state === "up"
    ).map(({ endpoint }) => endpoint)
      .filter((endpoint) => endpoint !== undefined)
      .filter(({ isUp, isReachable }) => isUp && isReachable);
  }

  /** Whether entries, store, network, endpoints or their rows are disturbed. */
  #isDisturbed(): boolean {
    const entries = [...this.entries.values()];
    const { maxExtraDelayMs, kept } = this.#hosts.network;
    const isDelayed = maxExtraDelayMs > 0 || kept !== undefined;
    return !this.store.isUndisturbed || isDelayed ||
      entries.some(({ process }) => process.isDead || process.isPaused) ||
      entries.some(({ orders }) => orders.lateShare > 0) ||
      this.hosts.some((host) => this.#isHostDisturbed(host));
  }

  #isHostDisturbed({ pool, state, endpoint }: ModelHost): boolean {
    if (state === "down" || endpoint === undefined) return true;
    if (state !== "up") return false;
    if (!endpoint.isReachable) return true;
    return pool !== "spare" && !this.#registrations.isListed(endpoint.info);
  }

  #intakeRequest(catalog: CatalogHolder, spec: JobSpec, timeoutMs: number) {
    const queue = catalog.current?.queues.find((q) => q.name === spec.queue);
    if (queue === undefined) throw new Error(`no queue ${spec.queue}`);
    return { queue, job: spec.id, deadline: this.clock.now() + timeoutMs };
  }

  #entry(name: string): ModelEntry {
    const found = this.entries.get(name);
    if (found === undefined) throw new Error(`entry ${name} does not exist`);
    return found;
  }
}
