/**
 * Actions on a simulation as plain data, so that property-based tests can
 * generate and shrink sequences of them, and a runner that performs them.
 */
import type { JobKind } from "./jobs.ts";
import { makeJob } from "./jobs.ts";
import type { ForeignRowKind } from "./model_registrations.ts";
import { poolNames } from "./pools.ts";
import type { BatchSimulation } from "./batch_simulation.ts";
import { partitionsOf } from "../src/store/index.ts";
import { fnv1a32, mulberry32 } from "./random.ts";
import { cpuLimit, type WorkspaceName, workspaceNames } from "./workspaces.ts";

/**
 * One action. The numbers `entry`, `host`, `job`, `pool` and `workspace` are indexes, taken
 * modulo the number of entries, hosts, jobs submitted so far, or pools with a
 * queue. `ms` and `downMs` say after how long a disturbance ends.
 */
export type Action =
  /** Submits a job to a pool's queue, for a workspace if there is one. */
  | {
    readonly kind: "submit";
    readonly job: JobKind;
    readonly pool: number;
    readonly workspace?: number;
  }
  /** Lowers or raises the CPU limit of a workspace. */
  | {
    readonly kind: "limit";
    readonly workspace: number;
    readonly cpuMillis: number;
  }
  /** Cancels a job. */
  | { readonly kind: "cancel"; readonly job: number }
  /** Advances the clock. */
  | { readonly kind: "wait"; readonly ms: number }
  /** Kills an entry's process and restarts it after `downMs`. */
  | { readonly kind: "kill"; readonly entry: number; readonly downMs: number }
  /** Pauses an entry's process for `ms`. */
  | { readonly kind: "freeze"; readonly entry: number; readonly ms: number }
  /** Shuts an entry down gracefully, then restarts it. */
  | { readonly kind: "retire"; readonly entry: number }
  /** Makes the store refuse or leave unanswered the calls of some entries. */
  | {
    readonly kind: "store";
    readonly entry: number | "all";
    readonly behavior: "refuses" | "silent";
    readonly ms: number;
  }
  /**
   * Makes the store refuse the calls to a share of its partitions; `draw`
   * decides to which.
   */
  | {
    readonly kind: "store-partitions";
    readonly share: number;
    readonly draw: number;
    readonly ms: number;
  }
  /** Makes the store refuse the calls to the partitions of a spread table. */
  | {
    readonly kind: "store-table";
    readonly table: string;
    readonly ms: number;
  }
  /** Loses the answers of a share of the store's commits. */
  | { readonly kind: "lose"; readonly share: number; readonly ms: number }
  /** Multiplies the store's delays by `factor`. */
  | { readonly kind: "slow"; readonly factor: number; readonly ms: number }
  /** Drops the store's change history. */
  | { readonly kind: "compact" }
  /** Crashes a host with its endpoint; the host reboots after `downMs`. */
  | { readonly kind: "crash"; readonly host: number; readonly downMs: number }
  /** Restarts an endpoint under its id and address after `downMs`. */
  | { readonly kind: "restart"; readonly host: number; readonly downMs: number }
  /**
   * Restarts an endpoint under its id while its connections fall silent, and cuts
   * it off for `cutMs` from `cutAfterMs` after its return. Kills the owner of its
   * pool at the return if `killsOwner`.
   */
  | {
    readonly kind: "restart-cut";
    readonly host: number;
    readonly downMs: number;
    readonly cutAfterMs: number;
    readonly cutMs: number;
    readonly killsOwner: boolean;
  }
  /**
   * Keeps a share of the orders on their way for some seconds, so that they may
   * reach another incarnation.
   */
  | { readonly kind: "keep"; readonly share: number; readonly ms: number }
  /** Disconnects an endpoint whose tasks keep running. */
  | { readonly kind: "cut"; readonly host: number; readonly downMs: number }
  /** Leaves a share of the orders unanswered; they take effect late. */
  | { readonly kind: "late"; readonly share: number; readonly ms: number }
  /**
   * Delays each order and each answer by up to `maxMs`. None is late in the
   * sense of `late`.
   */
  | { readonly kind: "delay"; readonly maxMs: number; readonly ms: number }
  /** Removes the registration of an endpoint that lives. */
  | { readonly kind: "unlist"; readonly host: number; readonly ms: number }
  /**
   * Replaces an endpoint's registration by another writer's row, which may name
   * the endpoint of the host `other`.
   */
  | {
    readonly kind: "foreign-row";
    readonly row: ForeignRowKind;
    readonly host: number;
    readonly other: number;
    readonly ms: number;
  }
  /** Sets an entry's registrations back to those of `ageMs` ago. */
  | {
    readonly kind: "set-back";
    readonly entry: number;
    readonly ageMs: number;
    readonly ms: number;
  }
  /** Requests a maintenance wave over the first `hosts` hosts. */
  | { readonly kind: "wave"; readonly hosts: number };

/** A cut that follows the restart of an endpoint. */
type RestartCut = Extract<Action, { readonly kind: "restart-cut" }>;

/** Shortest time for which an order is kept on its way, in ms. */
const minKeptMs = 2_000;

/** Longest time for which an order is kept on its way, in ms. */
const maxKeptMs = 6_000;

/** Time for which the row of an endpoint that is cut off stays, in ms. */
const rowKeptMs = 3_000;

/** Time after which an owner that is killed at a restart starts again, in ms. */
const ownerDownMs = 300;

/** Name of the workspace at an index, modulo their number. */
function nameOfWorkspace(index: number): WorkspaceName {
  return workspaceNames[index % workspaceNames.length];
}

/** Whether a partition belongs to the share that a number draws. */
function isDrawn(draw: number, partition: string, share: number): boolean {
  return mulberry32(fnv1a32(`${draw} ${partition}`))() < share;
}

/** Performs actions, one after another, on a simulation. */
export class ActionRunner {
  #jobCount = 0;
  #waveCount = 0;

  constructor(private readonly sim: BatchSimulation) {}

  /**
   * Performs one action. Only `wait` advances the clock; other actions start
   * their effect and return at once.
   */
  async perform(action: Action): Promise<void> {
    const { sim } = this;
    const { clock } = sim;
    switch (action.kind) {
      case "submit":
        this.#submitJob(action);
        break;
      case "limit": {
        const { workspace, cpuMillis } = action;
        sim.setLimit(nameOfWorkspace(workspace), cpuLimit(cpuMillis));
        break;
      }
      case "cancel": {
        const ids = [...sim.jobSpecs.keys()];
        if (ids.length > 0) {
          sim.cancel(ids[action.job % ids.length], this.#entryName(action.job));
        }
        break;
      }
      case "wait":
        await sim.advance(action.ms);
        break;
      case "kill":
        this.#killEntry(this.#entryName(action.entry), action.downMs);
        break;
      case "freeze": {
        const process = sim.entries.get(this.#entryName(action.entry))?.process;
        process?.pause();
        clock.after(action.ms, () => process?.resume());
        break;
      }
      case "retire":
        this.#restartGracefully(this.#entryName(action.entry));
        break;
      case "store":
        this.#disturbStore(action.entry, action.behavior, action.ms);
        break;
      case "store-partitions":
        this.#takePartitionsDown(
          (partition) => isDrawn(action.draw, partition, action.share),
          action.ms,
        );
        break;
      case "store-table": {
        const partitions = new Set(partitionsOf(action.table));
        this.#takePartitionsDown((name) => partitions.has(name), action.ms);
        break;
      }
      case "lose":
        sim.store.lostAnswerShare = action.share;
        clock.after(action.ms, () => sim.store.lostAnswerShare = 0);
        break;
      case "slow":
        sim.store.delayFactor = action.factor;
        clock.after(action.ms, () => sim.store.delayFactor = 1);
        break;
      case "compact":
        sim.store.compact();
        break;
      case "crash":
        sim.crashHost(action.host, action.downMs);
        break;
      case "restart":
        sim.restartEndpoint(action.host, action.downMs);
        break;
      case "restart-cut":
        this.#restartAndCut(action);
        break;
      case "keep":
        this.#keepOrders(action.share, action.ms);
        break;
      case "cut":
        sim.isolateHost(action.host, action.downMs);
        break;
      case "late":
        this.#delayOrders(action.share, action.ms);
        break;
      case "delay":
        sim.maxOrderDelayMs = action.maxMs;
        clock.after(action.ms, () => sim.maxOrderDelayMs = 0);
        break;
      case "unlist":
        sim.unlistEndpoint(action.host, action.ms);
        break;
      case "foreign-row": {
        const { host, other, row, ms } = action;
        sim.overwriteRegistration(host, other, row, ms);
        break;
      }
      case "set-back": {
        const name = this.#entryName(action.entry);
        sim.setRegistryBack(name, action.ageMs, action.ms);
        break;
      }
      case "wave":
        this.#startWave(action.hosts);
        break;
    }
  }

  /** Name of the entry at an index, modulo the number of entries. */
  #entryName(index: number): string {
    const names = [...this.sim.entries.keys()];
    return names[index % names.length];
  }

  /** Submits the next job; the last pool has no queue and is left out. */
  #submitJob(
    { job, pool, workspace }: Extract<Action, { readonly kind: "submit" }>,
  ): void {
    const { sim } = this;
    const jobNumber = ++this.#jobCount;
    const poolName = poolNames[pool % (poolNames.length - 1)];
    const spec = makeJob(
      jobNumber,
      job,
      poolName,
      sim.clock.wall(),
      workspace === undefined ? undefined : nameOfWorkspace(workspace),
    );
    sim.submit(spec, this.#entryName(jobNumber));
  }

  #killEntry(name: string, downMs: number): void {
    const { sim } = this;
    sim.killEntry(name);
    sim.clock.after(downMs, () => {
      if (sim.entries.get(name)?.process.isDead) sim.startEntry(name);
    });
  }

  #restartAndCut(action: RestartCut): void {
    const { sim } = this;
    const { host, downMs, cutAfterMs, cutMs, killsOwner } = action;
    const { pool } = sim.hosts[host % sim.hosts.length];
    sim.restartEndpoint(host, downMs, true);
    sim.clock.after(downMs, () => {
      const owner = sim.ownerOf(pool);
      if (killsOwner && owner !== undefined) {
        this.#killEntry(owner, ownerDownMs);
      }
    });
    sim.clock.after(downMs + cutAfterMs, () => {
      sim.cutOffHost(host, cutMs, rowKeptMs);
    });
  }

  #keepOrders(share: number, ms: number): void {
    const { sim } = this;
    sim.keptOrders = { share, minMs: minKeptMs, maxMs: maxKeptMs };
    sim.clock.after(ms, () => sim.keptOrders = undefined);
  }

  #restartGracefully(name: string): void {
    const { sim } = this;
    const entry = sim.entries.get(name);
    entry?.service.shutdown().then(() => {
      entry.process.kill();
      if (sim.entries.get(name) === entry) sim.startEntry(name);
    });
  }

  #disturbStore(
    entry: number | "all",
    behavior: "refuses" | "silent",
    ms: number,
  ): void {
    const { sim } = this;
    const names = entry === "all"
      ? [...sim.entries.keys()]
      : [this.#entryName(entry)];
    for (const name of names) sim.store.setBehavior(name, behavior);
    sim.clock.after(ms, () => {
      for (const name of names) sim.store.setBehavior(name, "serves");
    });
  }

  #takePartitionsDown(isDown: (name: string) => boolean, ms: number): void {
    const { sim } = this;
    sim.store.setPartitionsDown(isDown);
    sim.clock.after(ms, () => sim.store.setPartitionsDown(undefined));
  }

  #delayOrders(share: number, ms: number): void {
    const { sim } = this;
    const setLateShare = (value: number) => {
      sim.lateShare = value;
      for (const entry of sim.entries.values()) {
        entry.orders.lateShare = value;
      }
    };
    setLateShare(share);
    sim.clock.after(ms, () => setLateShare(0));
  }

  #startWave(count: number): void {
    const hosts = this.sim.hosts.slice(0, count).map((h) => h.host);
    this.sim.waves.push({
      id: String(++this.#waveCount),
      hosts,
      durationMs: 30_000,
      maxParallel: 2,
    });
  }
}
