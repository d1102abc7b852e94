/**
 * Runs that an earlier owner may have started on endpoints for which this
 * owner has no session yet.
 */
import type { JobSpec, Placement, TaskRef } from "../batch/index.ts";

/** A run whose endpoint has no session yet. */
export interface OrphanRun {
  readonly spec: JobSpec;
  readonly ref: TaskRef;
  readonly placement: Placement;
}

/** The orphan runs of one shard. */
export class OrphanRuns {
  #runs: OrphanRun[] = [];

  /**
   * @param leaseEndsBy Monotonic time in ms at which all leases of earlier
   * owners have expired.
   */
  constructor(readonly leaseEndsBy: number) {}

  /** Adds a run. */
  add(run: OrphanRun): void {
    this.#runs.push(run);
  }

  /** Removes and returns the runs of one incarnation of an endpoint. */
  takeForEndpoint(endpoint: string, life: number): readonly OrphanRun[] {
    return this.#remove(({ placement }) =>
      placement.endpoint === endpoint && placement.life === life
    );
  }

  /**
   * Removes and returns the runs that can no longer be in progress: their
   * endpoint has restarted, or their lease has expired.
   */
  takeLost(
    now: number,
    incarnationOf: (endpoint: string) => number | undefined,
  ): readonly OrphanRun[] {
    return this.#remove(({ placement }) => {
      const life = incarnationOf(placement.endpoint);
      const hasRestarted = life !== undefined && life !== placement.life;
      return hasRestarted || now > this.leaseEndsBy;
    });
  }

  #remove(test: (run: OrphanRun) => boolean): readonly OrphanRun[] {
    const removed = this.#runs.filter(test);
    if (removed.length > 0) this.#runs = this.#runs.filter((r) => !test(r));
    return removed;
  }
}
