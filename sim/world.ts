/**
 * Several entries of the product on a virtual clock, with a model of the
 * store, of the endpoints, of the hosts and of callers, and an oracle.
 */
import { CatalogHolder } from "../src/catalog/index.ts";
import {
  type JobSpec,
  parseTaskName,
  type StepSpec,
} from "../src/batch/index.ts";
import { EndpointRegistry, type TaskEndpoint } from "../src/endpoint/index.ts";
import { Intake } from "../src/intake/index.ts";
import { BatchService } from "../src/service/index.ts";
import { type Row, type Store, TableWatch } from "../src/store/index.ts";
import type {
  HostControl,
  HostOrderOutcome,
  ListedHost,
  OrderHolder,
  Wave,
} from "../src/upkeep/index.ts";
import { Ok } from "ts-results";
import {
  ModelEndpoint,
  ModelOrders,
  type TaskModel,
} from "./model_endpoints.ts";
import { ModelAdvice } from "./model_advice.ts";
import { ModelStore } from "./model_store.ts";
import { Oracle } from "./oracle.ts";
import { pools, queueOf } from "./pools.ts";
import { hashText, seededRandom } from "./random.ts";
import { ProcessClock, VirtualClock } from "./virtual_clock.ts";

/** Longest step of the clock, in ms. */
const stepMs = 10;

const migrateMs = 1_500;
const maintenanceMs = 2_000;
const registrations = "registrations";
const drift = 0.015;

/** Size of a model. */
export interface WorldOptions {
  readonly seed: number;
  readonly entries: number;
  readonly hostsPerPool: number;
  /** Run time of tasks by the caller's estimate; 1 when left out. */
  readonly workFactor?: number;
}

interface ModelHost {
  readonly host: string;
  pool: string;
  state: ListedHost["state"];
  endpoint: ModelEndpoint | undefined;
}

interface ModelEntry {
  readonly name: string;
  readonly process: ProcessClock;
  readonly store: Store;
  readonly orders: ModelOrders;
  readonly service: BatchService;
}

/** The model. */
export class World {
  readonly clock = new VirtualClock();
  readonly oracle = new Oracle(
    () => this.clock.now(),
    (task) => this.hosts.some((h) => h.endpoint?.isAtWork(task)),
  );
  readonly random: () => number;
  readonly store: ModelStore;
  readonly entries = new Map<string, ModelEntry>();
  readonly hosts: ModelHost[] = [];
  readonly waves: Wave[] = [];
  readonly waveStates = new Map<string, string>();
  readonly specs = new Map<string, JobSpec>();
  readonly log: string[] = [];
  readonly advice = new ModelAdvice(this.clock);
  readonly #lives = new Map<string, ModelEndpoint>();
  #serial = 0;
  #boots = 0;
  /** Share of orders to endpoints that act late. */
  lateShare = 0;

  constructor(readonly options: WorldOptions) {
    this.random = seededRandom(options.seed);
    this.store = new ModelStore(this.clock, this.random);
    for (const pool of pools) {
      for (let i = 0; i < options.hostsPerPool; i++) {
        const host = `${pool}-${i}`;
        this.hosts.push({ host, pool, state: "up", endpoint: undefined });
      }
    }
    for (const host of this.hosts) this.#boot(host);
    for (let i = 0; i < options.entries; i++) this.startEntry(`entry-${i}`);
  }

  /**
   * Lets time pass in small steps, so that processes which wait for no timer
   * go on in time.
   */
  async pass(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= stepMs) {
      await this.clock.advance(Math.min(left, stepMs));
      await this.clock.flush();
    }
  }

  /** Starts an entry's process, or starts it again. */
  startEntry(name: string): void {
    const process = new ProcessClock(this.clock);
    const store = this.store.connect(name, process);
    const find = (id: string) => this.#lives.get(id);
    const orders = new ModelOrders(process, this.clock, this.random, find);
    orders.lateShare = this.lateShare;
    const catalog = new CatalogHolder();
    catalog.accept({
      version: 1,
      queues: pools.slice(0, -1).map(queueOf),
      pools: pools.map((pool) => ({ name: pool, standby: pool === "spare" })),
      maxBodyBytes: 100_000,
    });
    const registry = new EndpointRegistry();
    const service = new BatchService({
      self: {
        entry: name,
        boot: `${name}#${++this.#boots}`,
        zone: "zone",
        cores: 1,
      },
      store,
      orders,
      advisor: this.advice.connect(process),
      control: this.#control(process),
      board: {
        waves: () => this.waves,
        publish: (wave, state) => {
          this.waveStates.set(wave, state);
          return Promise.resolve(true);
        },
      },
      catalog,
      registry,
      followed: [{
        name: registrations,
        watch: this.#watchRegistrations(store, registry),
        waitMs: 1_000,
        pauseMs: 100,
        forOwners: true,
      }],
      clock: process,
      log: {
        decision: (event, fields) => {
          const at = (this.clock.now() / 1_000).toFixed(3);
          this.log.push(`${at} ${name} ${event} ${JSON.stringify(fields)}`);
        },
      },
      crashed: (actor, err) => {
        this.oracle.violations.push(`CRASH of ${actor}: ${err}`);
      },
    });
    this.entries.set(name, { name, process, store, orders, service });
    service.start();
  }

  /** Kills an entry's process. */
  killEntry(name: string): void {
    this.entries.get(name)?.process.kill();
  }

  /** Submits a job at an entry, as a caller that asks again when unsure. */
  async submit(spec: JobSpec, entry: string): Promise<void> {
    this.specs.set(spec.id, spec);
    this.oracle.sent({
      id: spec.id,
      payload: spec.payload,
      maxAttempts: spec.maxAttempts,
      steps: spec.steps,
    });
    const answer = await this.#intake(entry).submit(
      this.#request(spec, 3_000),
      spec,
    );
    const unsent = answer.err && answer.val.code.name === "record-unavailable";
    this.oracle.answered(
      spec.id,
      answer.ok ? "accepted" : unsent ? "rejected" : "unclear",
    );
  }

  /** Cancels a job at an entry. */
  async cancel(id: string, entry: string): Promise<void> {
    const spec = this.specs.get(id);
    if (spec === undefined) return;
    this.oracle.cancelling(id);
    const done = await this.#intake(entry).cancel(this.#request(spec, 3_000));
    if (done.ok && done.val) this.oracle.cancelled(id);
  }

  /** Crashes a host; it comes back as a new life after a while. */
  crashHost(index: number, downMs: number): void {
    const host = this.hosts[index % this.hosts.length];
    const { endpoint } = host;
    if (host.state !== "up" || endpoint === undefined) return;
    endpoint.crash();
    host.state = "down";
    this.clock.after(downMs, () => {
      this.#unregister(endpoint.info);
      this.#boot(host);
    });
  }

  /** Cuts a host off; its registration goes, and what runs there runs on. */
  cutHost(index: number, downMs: number): void {
    const { endpoint } = this.hosts[index % this.hosts.length];
    if (endpoint === undefined) return;
    endpoint.isCut = true;
    this.#unregister(endpoint.info);
    this.clock.after(downMs, () => {
      endpoint.isCut = false;
      if (endpoint.isUp) this.#register(endpoint.info);
    });
  }

  /** Ends all disturbances. */
  heal(): void {
    this.store.lostShare = 0;
    this.store.slowness = 1;
    this.lateShare = 0;
    for (const entry of this.entries.values()) {
      this.store.setMood(entry.name, "serves");
      entry.orders.lateShare = 0;
      if (entry.process.isDead) this.startEntry(entry.name);
      else entry.process.resume();
    }
  }

  /** Asks for every job's phase and lets the oracle judge. */
  async finish(): Promise<readonly string[]> {
    const entry = [...this.entries.keys()][0];
    const phases = new Map<string, string | undefined>();
    const asked = [...this.specs.values()].map(async (spec) => {
      const phase = await this.#intake(entry).ask(this.#request(spec, 5_000));
      phases.set(spec.id, phase.ok ? phase.val : undefined);
    });
    await this.pass(6_000);
    await Promise.all(asked);
    this.oracle.finish(phases);
    return this.oracle.violations;
  }

  #request(spec: JobSpec, limitMs: number) {
    const queue = queueOf(spec.queue.replace("-queue", ""));
    return { queue, job: spec.id, deadline: this.clock.now() + limitMs };
  }

  #intake(entry: string): Intake {
    const found = this.entries.get(entry);
    if (found === undefined) throw new Error(`no entry ${entry}`);
    return found.service.intake;
  }

  #modelOf(task: string): TaskModel | undefined {
    const parsed = parseTaskName(task);
    const spec = parsed && this.specs.get(parsed.job);
    const step: StepSpec | undefined = spec?.steps[parsed?.ref.step ?? -1];
    if (spec === undefined || step === undefined) return undefined;
    const noise = seededRandom(hashText(`${this.options.seed} ${task}`));
    const factor = this.options.workFactor ?? 1;
    const workMs = factor * step.estimateMs * (0.5 + noise());
    const poison = spec.payload === "poison";
    const failures = Math.floor(noise() * 1.3);
    return {
      step,
      workMs,
      fails: (run) => poison || run <= failures,
      takes: (endpoint, ticket) =>
        !spec.advised || this.advice.takes(task, endpoint, ticket),
    };
  }

  #boot(host: ModelHost): void {
    const life = this.clock.wall();
    const info: TaskEndpoint = {
      id: `endpoint-${++this.#serial}`,
      address: host.host,
      pool: host.pool,
      zone: "zone",
      life,
      capacity: { cpuMillis: 4_000, memoryMb: 16_000, gpus: 0 },
      labels: ["a", "rack"],
      draining: false,
      host: host.host,
    };
    const born = this.clock.now();
    const endpoint = new ModelEndpoint(
      info,
      this.clock,
      born,
      drift,
      this.oracle,
      (task) => this.#modelOf(task),
    );
    this.#lives.set(info.id, endpoint);
    host.endpoint = endpoint;
    host.state = "up";
    if (host.pool !== "spare") this.#register(info);
  }

  #register(info: TaskEndpoint): void {
    const key = { table: registrations, partition: "", key: info.id };
    this.store.write(key, JSON.stringify(info));
  }

  #unregister(info: TaskEndpoint): void {
    const key = { table: registrations, partition: "", key: info.id };
    this.store.write(key, undefined);
  }

  #watchRegistrations(store: Store, registry: EndpointRegistry): TableWatch {
    const decode = (row: Row): TaskEndpoint => JSON.parse(row.value);
    return new TableWatch(store, registrations, [""], {
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

  #control(process: ProcessClock): HostControl {
    const act = (
      name: string,
      holder: OrderHolder,
      pool: string | undefined,
      awayMs: number,
    ) =>
      process.deliver(
        Promise.resolve(this.#takeAway(name, holder, pool, awayMs)),
      );
    return {
      list: () => process.deliver(Promise.resolve(Ok(this.#list()))),
      maintain: (host, _wave, holder) =>
        act(host, holder, undefined, maintenanceMs),
      move: (host, pool, holder) => act(host, holder, pool, migrateMs),
    };
  }

  #list(): readonly ListedHost[] {
    return this.hosts.map(({ host, pool, state, endpoint }) => ({
      host,
      pool,
      state,
      zone: "zone",
      endpoint: pool === "spare" ? "" : endpoint?.info.id ?? "",
    }));
  }

  #takeAway(
    name: string,
    holder: OrderHolder,
    pool: string | undefined,
    awayMs: number,
  ): HostOrderOutcome {
    const host = this.hosts.find((h) => h.host === name);
    if (host === undefined || host.state !== "up") {
      return { kind: "rejected", reason: "busy" };
    }
    const { endpoint } = host;
    const atWork = [...endpoint?.runs.keys() ?? []]
      .filter((task) => endpoint?.isAtWork(task));
    this.oracle.hostOrder(name, holder.term, atWork);
    endpoint?.crash();
    if (endpoint !== undefined) this.#unregister(endpoint.info);
    host.state = pool === undefined ? "upkeep" : "moving";
    host.pool = pool ?? host.pool;
    this.clock.after(awayMs, () => this.#boot(host));
    return { kind: "done" };
  }
}
