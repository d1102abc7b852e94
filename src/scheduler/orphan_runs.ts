/**
 * Runs that an earlier owner may have started on endpoints that this owner
 * has not met yet.
 */
import type { JobSpec, Placement, TaskRef } from "../batch/index.ts";

/** A run without a session. */
export interface OrphanRun {
  readonly spec: JobSpec;
  readonly ref: TaskRef;
  readonly placement: Placement;
}

/** Orphans by endpoint. */
export class OrphanRuns {
  #runs: OrphanRun[] = [];

  /** `leaseEndsBy`: steady time at which every earlier lease is over. */
  constructor(readonly leaseEndsBy: number) {}

  add(run: OrphanRun): void {
    this.#runs.push(run);
  }

  /** Removes and returns the runs of one life of an endpoint. */
  takeForEndpoint(endpoint: string, life: number): readonly OrphanRun[] {
    return this.#remove(({ placement }) =>
      placement.endpoint === endpoint && placement.life === life
    );
  }

  /** Removes and returns the runs whose life or lease is over. */
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
