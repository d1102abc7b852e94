/**
 * Bounds on the leases that earlier owners of a shard may have granted.
 *
 * A lease is granted by the clock of the endpoint. An endpoint that restarts
 * under its id carries out orders that were meant for its earlier incarnation.
 * They ask for a lease by that incarnation's clock, and may get the longest one.
 * An owner that has just taken over can't ask its predecessor what it knew, so it
 * reckons with the longest lease wherever an endpoint may have restarted.
 */
import type { TaskEndpoint } from "../endpoint/index.ts";
import {
  type DriverDependencies,
  longestInheritedLeaseMs,
  maxInheritedLeaseMs,
} from "./driver_dependencies.ts";
import { type LeaseBound, maxUnsettledOrderMs } from "./endpoint_lease.ts";
import type { OrphanRun } from "./orphan_runs.ts";

/** Largest error of an age that is computed from the clocks of two hosts, in ms. */
const maxWallClockErrorMs = 5_000;

/** The leases that may last when an owner takes its shard over. */
export class InheritedLeases {
  /** Bound of the leases of runs that an earlier owner started. */
  readonly bound: LeaseBound;
  /** Wall-clock time of the takeover, in ms. */
  readonly #takenOverAt: number;

  constructor(
    private readonly deps: Pick<
      DriverDependencies,
      "clock" | "previous" | "registry"
    >,
  ) {
    const { clock, previous } = deps;
    this.bound = {
      endsBy: clock.now() + maxInheritedLeaseMs(previous),
      longestEndsBy: clock.now() + longestInheritedLeaseMs(previous),
    };
    this.#takenOverAt = clock.wall();
  }

  /** Time at which the lease of a run without a session has expired, in ms. */
  orphanEndsBy({ endpoint, life, bound }: OrphanRun): number {
    const mayHaveRestarted =
      this.deps.registry.namesAnotherLife(endpoint, life) ||
      this.#hasRestartedRecently(endpoint);
    return mayHaveRestarted ? bound.longestEndsBy : bound.endsBy;
  }

  /**
   * Time at which leases have expired that an endpoint had before its session,
   * in ms; -Infinity if only its runs tell.
   */
  endpointEndsBy({ id }: TaskEndpoint): number {
    return this.#hasRestartedRecently(id)
      ? this.bound.longestEndsBy
      : -Infinity;
  }

  /** Whether leases from before an endpoint's restart may outlast the takeover. */
  #hasRestartedRecently(id: string): boolean {
    const life = this.deps.registry.restartedLife(id);
    if (life === undefined) return false;
    const ageMs = this.#takenOverAt - life;
    return ageMs < maxUnsettledOrderMs + maxWallClockErrorMs;
  }
}
