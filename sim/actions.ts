/** What may happen in a run of the model, as data that can be drawn. */
import type { JobKind } from "./jobs.ts";
import { jobOf } from "./jobs.ts";
import { poolNames } from "./pools.ts";
import type { World } from "./world.ts";

/** One event; numbers pick an entry, a host or a job. */
export type Action =
  | { readonly kind: "submit"; readonly job: JobKind; readonly pool: number }
  | { readonly kind: "cancel"; readonly job: number }
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "kill"; readonly entry: number; readonly downMs: number }
  | { readonly kind: "freeze"; readonly entry: number; readonly ms: number }
  | { readonly kind: "retire"; readonly entry: number }
  | {
    readonly kind: "store";
    readonly entry: number | "all";
    readonly behavior: "refuses" | "silent";
    readonly ms: number;
  }
  | { readonly kind: "lose"; readonly share: number; readonly ms: number }
  | { readonly kind: "slow"; readonly factor: number; readonly ms: number }
  | { readonly kind: "compact" }
  | { readonly kind: "crash"; readonly host: number; readonly downMs: number }
  | { readonly kind: "cut"; readonly host: number; readonly downMs: number }
  | { readonly kind: "late"; readonly share: number; readonly ms: number }
  | { readonly kind: "wave"; readonly hosts: number };

/** Carries out actions, one after another, on a sim. */
export class ActionRunner {
  #jobCount = 0;
  #waveCount = 0;

  constructor(private readonly sim: World) {}

  /** Carries out one action; only `wait` lets time pass. */
  async perform(action: Action): Promise<void> {
    const { sim } = this;
    const { clock } = sim;
    switch (action.kind) {
      case "submit":
        this.#submitJob(action.job, action.pool);
        break;
      case "cancel": {
        const ids = [...sim.jobSpecs.keys()];
        if (ids.length > 0) {
          sim.cancel(
            ids[action.job % ids.length],
            this.#entryName(action.job),
          );
        }
        break;
      }
      case "wait":
        await sim.pass(action.ms);
        break;
      case "kill": {
        const name = this.#entryName(action.entry);
        sim.killEntry(name);
        clock.after(action.downMs, () => {
          if (sim.entries.get(name)?.process.isDead) sim.startEntry(name);
        });
        break;
      }
      case "freeze": {
        const process = sim.entries.get(this.#entryName(action.entry))
          ?.process;
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
      case "lose":
        sim.store.lostShare = action.share;
        clock.after(action.ms, () => sim.store.lostShare = 0);
        break;
      case "slow":
        sim.store.slowness = action.factor;
        clock.after(action.ms, () => sim.store.slowness = 1);
        break;
      case "compact":
        sim.store.compact();
        break;
      case "crash":
        sim.crashHost(action.host, action.downMs);
        break;
      case "cut":
        sim.isolateHost(action.host, action.downMs);
        break;
      case "late":
        this.#delayOrders(action.share, action.ms);
        break;
      case "wave":
        this.#startWave(action.hosts);
        break;
    }
  }

  #entryName(index: number): string {
    const names = [...this.sim.entries.keys()];
    return names[index % names.length];
  }

  #submitJob(kind: JobKind, pool: number): void {
    const { sim } = this;
    const jobNumber = ++this.#jobCount;
    const poolName = poolNames[pool % (poolNames.length - 1)];
    const spec = jobOf(jobNumber, kind, poolName, sim.clock.wall());
    sim.submit(spec, this.#entryName(jobNumber));
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
    for (const name of names) sim.store.setMood(name, behavior);
    sim.clock.after(ms, () => {
      for (const name of names) sim.store.setMood(name, "serves");
    });
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
