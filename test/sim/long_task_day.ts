/**
 * Scenarios in which an endpoint restarts while long tasks run, and jobs of such
 * tasks come all the time.
 */
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { makeJob } from "../../sim/jobs.ts";
import {
  busyHosts,
  endSimulation,
  settledSimulation,
} from "./settled_simulation.ts";

/** Time for which the endpoints are up before the first job, in ms. */
const earlierMs = 15_000;

/** Time between two jobs, in ms. */
const submitIntervalMs = 50;

/** Number of jobs that come, unless the options say otherwise. */
const usualJobs = 60;

/** CPU of a task, of which an endpoint has room for many, in thousandths. */
const smallCpuMillis = 100;

/** Time in which all jobs end after the disturbances, in ms. */
const drainMs = 30_000;

/** Pool whose jobs come. */
const pool = "quotes";

/** Settings of a day that differ from the default. */
export interface LongTaskDayOptions {
  /** Average run time of tasks divided by the estimate of 600 ms. */
  readonly workFactor?: number;
  /** Number of tasks of each job; default 1. */
  readonly tasks?: number;
  /** Whether the tasks of a job are a gang. */
  readonly gang?: boolean;
  /** Number of jobs that come; default 60. */
  readonly jobs?: number;
  /** CPU of a task, in thousandths of a core; an endpoint has 4,000. */
  readonly cpuMillis?: number;
}

/** A simulated day with long tasks. */
export class LongTaskDay {
  #jobCount = 0;

  private constructor(
    /** The simulation, for disturbances of other kinds. */
    readonly sim: BatchSimulation,
    private readonly options: LongTaskDayOptions,
  ) {}

  /** Begins a day; its endpoints' clocks show more than the longest lease. */
  static async begin(
    seed: number,
    options: LongTaskDayOptions = {},
  ): Promise<LongTaskDay> {
    const { workFactor = 24 } = options;
    const sim = await settledSimulation({ seed, hostsPerPool: 4, workFactor });
    await sim.advance(earlierMs);
    return new LongTaskDay(sim, options);
  }

  /** Advances the clock while jobs come. */
  async advance(ms: number): Promise<void> {
    let remainingMs = ms;
    while (remainingMs > 0) {
      const stepMs = Math.min(remainingMs, submitIntervalMs);
      this.#submit();
      await this.sim.advance(stepMs);
      remainingMs -= stepMs;
    }
  }

  /** Index of a host of the pool that runs tasks. */
  busyHost(): number {
    const [host] = busyHosts(this.sim)
      .filter((i) => this.sim.hosts[i].pool === pool);
    return host;
  }

  /** Name of the entry that owns the pool's shard. */
  owner(): string {
    const owner = this.sim.ownerOf(pool);
    if (owner === undefined) throw new Error(`${pool} has no owner`);
    return owner;
  }

  /** Kills the owner, which starts again after `downMs`. */
  killOwner(downMs: number): void {
    const owner = this.owner();
    this.sim.killEntry(owner);
    this.sim.clock.after(downMs, () => this.sim.startEntry(owner));
  }

  /** Ends the day once all jobs have ended; returns its violations. */
  async finish(): Promise<readonly string[]> {
    this.sim.endDisturbances();
    await this.sim.advance(drainMs);
    await this.sim.finish();
    return this.end();
  }

  /** Ends the day and returns its violations. */
  end(): readonly string[] {
    endSimulation(this.sim);
    return this.sim.oracle.violations;
  }

  #submit(): void {
    const live = [...this.sim.entries.values()]
      .filter(({ process }) => !process.isDead && !process.isPaused);
    const { jobs = usualJobs } = this.options;
    if (live.length === 0 || this.#jobCount >= jobs) return;
    this.#jobCount++;
    const { tasks = 1, gang = false, cpuMillis = smallCpuMillis } =
      this.options;
    const demand = { cpuMillis, memoryMb: 100, gpus: 0 };
    const job = makeJob(this.#jobCount, "single", pool, this.sim.clock.wall());
    const step = { ...job.steps[0], demand, count: tasks, gang };
    const entry = live[this.#jobCount % live.length].name;
    this.sim.submit({ ...job, steps: [step] }, entry);
  }
}
