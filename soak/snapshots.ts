/** What was in use and what was free in a pool at moments of a play. */
import type {
  Capacity,
  PlayRecord,
  SeenLife,
  SeenRun,
  SubmittedStep,
} from "./play_record.ts";
import { isRunningAt } from "./play_record.ts";

/** Step of a task. */
function stepOf(task: string): number {
  return Number(task.split(".")[2]);
}

/** Whether something with a beginning and perhaps an end covers a time. */
function covers(span: { from: number; to?: number }, at: number): boolean {
  return span.from <= at && (span.to ?? Infinity) > at;
}

/** A pool at one moment. */
class PoolSnapshot {
  /** Free resources of the endpoints in touch. */
  readonly #free: Capacity[] = [];
  #cpuUsed = 0;
  #cpu = 0;

  /** Adds an endpoint that is up; it counts as free if it is in touch. */
  add(capacity: Capacity, used: Capacity, isInTouch: boolean): void {
    this.#cpu += capacity.cpu;
    this.#cpuUsed += used.cpu;
    if (!isInTouch) return;
    this.#free.push({
      cpu: capacity.cpu - used.cpu,
      memMb: capacity.memMb - used.memMb,
    });
  }

  /** Number of tasks of this size for which there is room. */
  roomFor({ cpu, memMb }: Capacity): number {
    return this.#free
      .map((free) => Math.min(free.cpu / cpu, free.memMb / memMb))
      .reduce((sum, room) => sum + Math.max(0, Math.floor(room)), 0);
  }

  /** Share of the pool's cores that is in use. */
  get usedShare(): number {
    return this.#cpu === 0 ? 1 : this.#cpuUsed / this.#cpu;
  }
}

/** Looks up the state of pools in a record. */
export class Snapshots {
  readonly #runsByEndpoint = new Map<string, SeenRun[]>();
  readonly #known = new Map<string, PoolSnapshot>();

  constructor(private readonly record: PlayRecord) {
    for (const run of record.runs) {
      const runs = this.#runsByEndpoint.get(run.endpoint);
      if (runs === undefined) this.#runsByEndpoint.set(run.endpoint, [run]);
      else runs.push(run);
    }
  }

  /** Whether there is room for two tasks of a step in a pool. */
  hasRoomTwice(pool: string, step: SubmittedStep, at: number): boolean {
    return this.#at(pool, at).roomFor(step) >= 2;
  }

  /** Share of a pool's cores that is in use, those of cut endpoints too. */
  usedShare(pool: string, at: number): number {
    return this.#at(pool, at).usedShare;
  }

  #at(pool: string, at: number): PoolSnapshot {
    const key = `${pool} ${at}`;
    const known = this.#known.get(key) ?? this.#take(pool, at);
    this.#known.set(key, known);
    return known;
  }

  #take(pool: string, at: number): PoolSnapshot {
    const snapshot = new PoolSnapshot();
    const lives = this.record.lives
      .filter((life) => life.pool === pool && covers(life, at));
    for (const life of lives) {
      const isInTouch = !this.record.disturbances.some((disturbance) =>
        disturbance.who === life.endpoint && covers(disturbance, at)
      );
      snapshot.add(life.capacity, this.#usedOn(life, at), isInTouch);
    }
    return snapshot;
  }

  #usedOn({ endpoint }: SeenLife, at: number): Capacity {
    let cpu = 0;
    let memMb = 0;
    for (const run of this.#runsByEndpoint.get(endpoint) ?? []) {
      if (!isRunningAt(run, at)) continue;
      const step = this.record.jobs.get(run.job)?.steps[stepOf(run.task)];
      cpu += step?.cpu ?? 0;
      memMb += step?.memMb ?? 0;
    }
    return { cpu, memMb };
  }
}
