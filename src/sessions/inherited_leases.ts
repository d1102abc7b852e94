/**
 * Bounds on the leases that earlier owners of a shard may have granted.
 *
 * A lease is granted by the clock of the endpoint. An endpoint that restarts
 * under its id carries out orders that were meant for its earlier incarnation.
 * They ask for a lease by that incarnation's clock, and may get the longest one,
 * for everything that the endpoint runs. An owner that has just taken over can't
 * ask its predecessor which orders were under way when an endpoint started, so it
 * reckons with the longest lease wherever that was a short time ago, unless the
 * endpoint's id is new.
 */
import type { Placement } from "../batch/index.ts";
import type { TaskEndpoint } from "../endpoint/index.ts";
import {
  type DriverDependencies,
  inheritedLeaseBound,
} from "./driver_dependencies.ts";
import {
  type LeaseBound,
  maxUnsettledOrderMs,
  noLease,
} from "./endpoint_lease.ts";

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
    this.bound = inheritedLeaseBound(previous, clock.now());
    this.#takenOverAt = clock.wall();
  }

  /**
   * Whether an incarnation has acknowledged the start of a run, and had started
   * so long before the takeover that its lease is no longer than was asked for.
   */
  isAcknowledged(
    { isAcknowledged = false, endpoint: id, life }: Placement,
  ): boolean {
    return isAcknowledged && !this.#mayHaveRestarted({ id, life });
  }

  /** Bound of the leases that an incarnation had before its session. */
  boundOf(endpoint: TaskEndpoint): LeaseBound {
    if (!this.#mayHaveRestarted(endpoint)) return noLease;
    const { longestEndsBy } = this.bound;
    return { endsBy: longestEndsBy, longestEndsBy };
  }

  /**
   * Whether an incarnation may have taken over leases from orders to an earlier
   * one that outlast the takeover.
   */
  #mayHaveRestarted(endpoint: Pick<TaskEndpoint, "id" | "life">): boolean {
    const ageMs = this.#takenOverAt - endpoint.life;
    return ageMs < maxUnsettledOrderMs + maxWallClockErrorMs &&
      !this.deps.registry.isFirstLife(endpoint);
  }
}
