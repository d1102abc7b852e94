/**
 * Runs that may be in progress at endpoints for which the owner has no session:
 * runs that an earlier owner may have started, and runs whose start was in
 * flight when their endpoint restarted. A restarted endpoint keeps its id, so
 * such a start may still be carried out by its next incarnation.
 */
import { type LeaseBound, type Run, runEndsBy } from "../sessions/index.ts";

/** A run whose endpoint has no session. */
export interface OrphanRun {
  readonly run: Run;
  /** Id of the endpoint. */
  readonly endpoint: string;
  /** Incarnation that has acknowledged its start, or that it was meant for. */
  readonly life: number;
  /** Bound of the lease under which it may run. */
  readonly bound: LeaseBound;
}

/** The orphan runs of one shard. */
export class OrphanRuns {
  #orphans: OrphanRun[] = [];

  /** Number of the runs. */
  get count(): number {
    return this.#orphans.length;
  }

  /** The runs. */
  runs(): readonly Run[] {
    return this.#orphans.map(({ run }) => run);
  }

  /** Adds a run. */
  add(orphan: OrphanRun): void {
    this.#orphans.push(orphan);
  }

  /** Removes and returns the runs of an endpoint, of all its incarnations. */
  takeForEndpoint(endpoint: string): readonly OrphanRun[] {
    return this.#remove((orphan) => orphan.endpoint === endpoint);
  }

  /**
   * Removes and returns the runs that can no longer be in progress: their host
   * was taken down, or their lease has expired.
   */
  takeLost(
    now: number,
    takenDown: ReadonlySet<string>,
  ): readonly OrphanRun[] {
    return this.#remove(({ run, endpoint, bound }) =>
      takenDown.has(endpoint) || now > runEndsBy(run, bound)
    );
  }

  #remove(test: (orphan: OrphanRun) => boolean): readonly OrphanRun[] {
    const removed = this.#orphans.filter(test);
    if (removed.length > 0) {
      this.#orphans = this.#orphans.filter((o) => !test(o));
    }
    return removed;
  }
}
