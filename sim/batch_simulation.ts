/**
 * Deterministic simulation of batch jobs: several real entries on a virtual
 * clock, with models of the store, endpoints, hosts and callers, and an oracle
 * that checks the outcome.
 */
import { CatalogHolder } from "../src/catalog/index.ts";
import {
  type JobSpec,
  parseTaskName,
  type StepSpec,
} from "../src/batch/index.ts";
import type { ProviderHost } from "../src/capacity/index.ts";
import { EndpointRegistry, type TaskEndpoint } from "../src/endpoint/index.ts";
import { Intake } from "../src/intake/index.ts";
import { BatchService } from "../src/service/index.ts";
import { type Store, type StoreRow, TableWatch } from "../src/store/index.ts";
import type {
  HostControl,
  HostOrderOutcome,
  OrderSender,
  RequestedWave,
} from "../src/upkeep/index.ts";
import { Ok } from "ts-results";
import {
  ModelEndpoint,
  ModelOrders,
  type TaskModel,
} from "./model_endpoints.ts";
import { ModelAdvisor } from "./model_advisor.ts";
import { ModelStore } from "./model_store.ts";
import { BatchOracle } from "./oracle.ts";
import { poolNames, queueForPool } from "./pools.ts";
import { fnv1a32, mulberry32 } from "./random.ts";
import { ProcessClock, VirtualClock } from "./virtual_clock.ts";

/** Longest step by which the clock advances at once, in ms. */
const maxClockStepMs = 10;

/** Time for which a host is down when it moves to another pool, in ms. */
const moveDurationMs = 1_500;

/** Time for which a host is down for maintenance, in ms. */
const maintenanceDurationMs = 2_000;

/** Table in which endpoints register. */
const registrationTable = "registrations";

/** Share by which the endpoints' clocks run slow. */
const clockDrift = 0.015;

/** Size and seed of a simulation. */
export interface BatchSimulationOptions {
  readonly seed: number;
  /** Number of entries. */
  readonly entries: number;
  readonly hostsPerPool: number;
  /** Average run time of tasks divided by the caller's estimate; default 1. */
  readonly workFactor?: number;
}

/** A host and the endpoint that runs on it, if any. */
interface ModelHost {
  readonly host: string;
  pool: string;
  state: ProviderHost["state"];
  endpoint: ModelEndpoint | undefined;
}

/** One process of an entry. */
interface ModelEntry {
  readonly name: string;
  readonly process: ProcessClock;
  readonly store: Store;
  readonly orders: ModelOrders;
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
    (task) => this.hosts.some((h) => h.endpoint?.isAvailable(task)),
  );
  readonly random: () => number;
  readonly store: ModelStore;
  readonly entries = new Map<string, ModelEntry>();
  readonly hosts: ModelHost[] = [];
  /** Maintenance waves that the operator has requested. */
  readonly waves: RequestedWave[] = [];
  /** Last published state of each wave, by its id. */
  readonly waveStates = new Map<string, string>();
  /** Submitted jobs by id. */
  readonly jobSpecs = new Map<string, JobSpec>();
  /** Decisions of all entries: time in s, entry, event, fields as JSON. */
  readonly log: string[] = [];
  readonly advisor = new ModelAdvisor(this.clock);
  /** All incarnations of endpoints by their id. */
  readonly #endpoints = new Map<string, ModelEndpoint>();
  #endpointCount = 0;
  #bootCount = 0;
  /** Share of start and stop orders that get no answer and take effect late. */
  lateShare = 0;

  constructor(readonly options: BatchSimulationOptions) {
    this.random = mulberry32(options.seed);
    this.store = new ModelStore(this.clock, this.random);
    for (const pool of poolNames) {
      for (let i = 0; i < options.hostsPerPool; i++) {
        const host = `${pool}-${i}`;
        this.hosts.push({ host, pool, state: "up", endpoint: undefined });
      }
    }
    for (const host of this.hosts) this.#bootHost(host);
    for (let i = 0; i < options.entries; i++) this.startEntry(`entry-${i}`);
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
    const store = this.store.connect(name, process);
    const findEndpoint = (id: string) => this.#endpoints.get(id);
    const orders = new ModelOrders(
      process,
      this.clock,
      this.random,
      findEndpoint,
    );
    orders.lateShare = this.lateShare;
    const catalog = new CatalogHolder();
    catalog.updateIfNewer({
      version: 1,
      queues: poolNames.slice(0, -1).map(queueForPool),
      pools: poolNames.map((pool) => ({
        name: pool,
        standby: pool === "spare",
      })),
      maxBodyBytes: 100_000,
    });
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
      control: this.#hostControl(process),
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
        name: registrationTable,
        watch: this.#watchRegistrations(store, registry),
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
    this.entries.set(name, { name, process, store, orders, service });
    service.start();
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
    });
    const answer = await this.#intake(entry).submit(
      this.#intakeRequest(spec, 3_000),
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
    const answer = await this.#intake(entry).cancel(
      this.#intakeRequest(spec, 3_000),
    );
    if (answer.ok && answer.val) this.oracle.cancellationConfirmed(id);
  }

  /** Crashes a host; it boots again with a new endpoint after `downMs`. */
  crashHost(index: number, downMs: number): void {
    const host = this.hosts[index % this.hosts.length];
    const { endpoint } = host;
    if (host.state !== "up" || endpoint === undefined) return;
    endpoint.crash();
    host.state = "down";
    this.clock.after(downMs, () => {
      this.#unregister(endpoint.info);
      this.#bootHost(host);
    });
  }

  /**
   * Disconnects the endpoint of a host for `downMs` and removes its
   * registration; its tasks keep running.
   */
  isolateHost(index: number, downMs: number): void {
    const { endpoint } = this.hosts[index % this.hosts.length];
    if (endpoint === undefined) return;
    endpoint.isIsolated = true;
    this.#unregister(endpoint.info);
    this.clock.after(downMs, () => {
      endpoint.isIsolated = false;
      if (endpoint.isUp) this.#register(endpoint.info);
    });
  }

  /** Ends all disturbances, and restarts or resumes all entries. */
  endDisturbances(): void {
    this.store.lostAnswerShare = 0;
    this.store.delayFactor = 1;
    this.lateShare = 0;
    for (const entry of this.entries.values()) {
      this.store.setBehavior(entry.name, "serves");
      entry.orders.lateShare = 0;
      if (entry.process.isDead) this.startEntry(entry.name);
      else entry.process.resume();
    }
  }

  /** Queries the phase of every job and returns all violations of the run. */
  async finish(): Promise<readonly string[]> {
    const entry = [...this.entries.keys()][0];
    const phases = new Map<string, string | undefined>();
    const queries = [...this.jobSpecs.values()].map(async (spec) => {
      const phase = await this.#intake(entry).jobPhase(
        this.#intakeRequest(spec, 5_000),
      );
      phases.set(spec.id, phase.ok ? phase.val : undefined);
    });
    await this.advance(6_000);
    await Promise.all(queries);
    this.oracle.checkFinalState(phases);
    return this.oracle.violations;
  }

  #intakeRequest(spec: JobSpec, timeoutMs: number) {
    const queue = queueForPool(spec.queue.replace("-queue", ""));
    return { queue, job: spec.id, deadline: this.clock.now() + timeoutMs };
  }

  #intake(entry: string): Intake {
    const found = this.entries.get(entry);
    if (found === undefined) throw new Error(`entry ${entry} does not exist`);
    return found.service.intake;
  }

  /**
   * How a task behaves. Its run time and failures follow from the seed and its
   * name, so that they are the same on every endpoint.
   */
  #taskModel(task: string): TaskModel | undefined {
    const parsed = parseTaskName(task);
    const spec = parsed && this.jobSpecs.get(parsed.job);
    const step: StepSpec | undefined = spec?.steps[parsed?.ref.step ?? -1];
    if (spec === undefined || step === undefined) return undefined;
    const random = mulberry32(fnv1a32(`${this.options.seed} ${task}`));
    const factor = this.options.workFactor ?? 1;
    const durationMs = factor * step.estimateMs * (0.5 + random());
    const alwaysFails = spec.payload === "poison";
    const failureCount = Math.floor(random() * 1.3);
    return {
      step,
      durationMs,
      fails: (run) => alwaysFails || run <= failureCount,
      admits: (endpoint, ticket) =>
        !spec.advised || this.advisor.acceptsTicket(task, endpoint, ticket),
    };
  }

  #bootHost(host: ModelHost): void {
    const life = this.clock.wall();
    const info: TaskEndpoint = {
      id: `endpoint-${++this.#endpointCount}`,
      address: host.host,
      pool: host.pool,
      zone: "zone",
      life,
      capacity: { cpuMillis: 4_000, memoryMb: 16_000, gpus: 0 },
      labels: ["a", "rack"],
      draining: false,
      host: host.host,
    };
    const bootedAt = this.clock.now();
    const endpoint = new ModelEndpoint(
      info,
      this.clock,
      bootedAt,
      clockDrift,
      this.oracle,
      (task) => this.#taskModel(task),
    );
    this.#endpoints.set(info.id, endpoint);
    host.endpoint = endpoint;
    host.state = "up";
    if (host.pool !== "spare") this.#register(info);
  }

  #register(info: TaskEndpoint): void {
    const key = { table: registrationTable, partition: "", key: info.id };
    this.store.write(key, JSON.stringify(info));
  }

  #unregister(info: TaskEndpoint): void {
    const key = { table: registrationTable, partition: "", key: info.id };
    this.store.write(key, undefined);
  }

  #watchRegistrations(store: Store, registry: EndpointRegistry): TableWatch {
    const decode = (row: StoreRow): TaskEndpoint => JSON.parse(row.value);
    return new TableWatch(store, registrationTable, [""], {
      reset: (rows) => registry.reset(rows.map(decode)),
      changed: (changes) =>
        registry.apply(
          changes.map((change) =>
            change.kind === "put"
              ? { kind: "listed", endpoint: decode(change.row) } as const
              : { kind: "removed", id: change.row.key } as const
          ),
        ),
    });
  }

  #hostControl(process: ProcessClock): HostControl {
    const takeDown = (
      name: string,
      sender: OrderSender,
      pool: string | undefined,
      downMs: number,
    ) =>
      process.deliver(
        Promise.resolve(this.#takeHostDown(name, sender, pool, downMs)),
      );
    return {
      list: () => process.deliver(Promise.resolve(Ok(this.#listHosts()))),
      maintain: (host, _wave, sender) =>
        takeDown(host, sender, undefined, maintenanceDurationMs),
      move: (host, pool, sender) =>
        takeDown(host, sender, pool, moveDurationMs),
    };
  }

  #listHosts(): readonly ProviderHost[] {
    return this.hosts.map(({ host, pool, state, endpoint }) => ({
      host,
      pool,
      state,
      zone: "zone",
      endpoint: pool === "spare" ? "" : endpoint?.info.id ?? "",
    }));
  }

  /** Carries out a host order: ends the endpoint and reboots the host later. */
  #takeHostDown(
    name: string,
    sender: OrderSender,
    pool: string | undefined,
    downMs: number,
  ): HostOrderOutcome {
    const host = this.hosts.find((h) => h.host === name);
    if (host === undefined || host.state !== "up") {
      return { kind: "rejected", reason: "busy" };
    }
    const { endpoint } = host;
    const endedTasks = [...endpoint?.runs.keys() ?? []]
      .filter((task) => endpoint?.isAvailable(task));
    this.oracle.hostOrderCarriedOut(name, sender.term, endedTasks);
    endpoint?.crash();
    if (endpoint !== undefined) this.#unregister(endpoint.info);
    host.state = pool === undefined ? "upkeep" : "moving";
    host.pool = pool ?? host.pool;
    this.clock.after(downMs, () => this.#bootHost(host));
    return { kind: "done" };
  }
}
