/** What may happen in a run of the model, as data that can be drawn. */
import type { JobKind } from "./jobs.ts";
import { jobOf } from "./jobs.ts";
import { pools } from "./pools.ts";
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
    readonly mood: "refuses" | "silent";
    readonly ms: number;
  }
  | { readonly kind: "lose"; readonly share: number; readonly ms: number }
  | { readonly kind: "slow"; readonly factor: number; readonly ms: number }
  | { readonly kind: "compact" }
  | { readonly kind: "crash"; readonly host: number; readonly downMs: number }
  | { readonly kind: "cut"; readonly host: number; readonly downMs: number }
  | { readonly kind: "late"; readonly share: number; readonly ms: number }
  | { readonly kind: "wave"; readonly hosts: number };

/** Carries out actions, one after another, on a world. */
export class Play {
  #jobs = 0;
  #waves = 0;

  constructor(private readonly world: World) {}

  /** Carries out one action; only `wait` lets time pass. */
  async act(action: Action): Promise<void> {
    const { world } = this;
    const { clock } = world;
    switch (action.kind) {
      case "submit":
        this.#submit(action.job, action.pool);
        break;
      case "cancel": {
        const ids = [...world.specs.keys()];
        if (ids.length > 0) {
          world.cancel(ids[action.job % ids.length], this.#entry(action.job));
        }
        break;
      }
      case "wait":
        await world.pass(action.ms);
        break;
      case "kill": {
        const name = this.#entry(action.entry);
        world.killEntry(name);
        clock.after(action.downMs, () => {
          if (world.entries.get(name)?.process.isDead) world.startEntry(name);
        });
        break;
      }
      case "freeze": {
        const process = world.entries.get(this.#entry(action.entry))?.process;
        process?.pause();
        clock.after(action.ms, () => process?.resume());
        break;
      }
      case "retire":
        this.#retire(this.#entry(action.entry));
        break;
      case "store":
        this.#upset(action.entry, action.mood, action.ms);
        break;
      case "lose":
        world.store.lostShare = action.share;
        clock.after(action.ms, () => world.store.lostShare = 0);
        break;
      case "slow":
        world.store.slowness = action.factor;
        clock.after(action.ms, () => world.store.slowness = 1);
        break;
      case "compact":
        world.store.compact();
        break;
      case "crash":
        world.crashHost(action.host, action.downMs);
        break;
      case "cut":
        world.cutHost(action.host, action.downMs);
        break;
      case "late":
        this.#delayOrders(action.share, action.ms);
        break;
      case "wave":
        this.#wave(action.hosts);
        break;
    }
  }

  #entry(index: number): string {
    const names = [...this.world.entries.keys()];
    return names[index % names.length];
  }

  #submit(kind: JobKind, pool: number): void {
    const { world } = this;
    const number = ++this.#jobs;
    const name = pools[pool % (pools.length - 1)];
    const spec = jobOf(number, kind, name, world.clock.wall());
    world.submit(spec, this.#entry(number));
  }

  #retire(name: string): void {
    const { world } = this;
    const entry = world.entries.get(name);
    entry?.service.shutdown().then(() => {
      entry.process.kill();
      if (world.entries.get(name) === entry) world.startEntry(name);
    });
  }

  #upset(
    entry: number | "all",
    mood: "refuses" | "silent",
    ms: number,
  ): void {
    const { world } = this;
    const names = entry === "all"
      ? [...world.entries.keys()]
      : [this.#entry(entry)];
    for (const name of names) world.store.setMood(name, mood);
    world.clock.after(ms, () => {
      for (const name of names) world.store.setMood(name, "serves");
    });
  }

  #delayOrders(share: number, ms: number): void {
    const { world } = this;
    const set = (value: number) => {
      world.lateShare = value;
      for (const entry of world.entries.values()) {
        entry.orders.lateShare = value;
      }
    };
    set(share);
    world.clock.after(ms, () => set(0));
  }

  #wave(count: number): void {
    const hosts = this.world.hosts.slice(0, count).map((h) => h.host);
    this.world.waves.push({
      id: String(++this.#waves),
      hosts,
      durationMs: 30_000,
      maxParallel: 2,
    });
  }
}
