/**
 * The fleet operations of an entry: while it holds the controller's lease, the
 * controller, the moves of hosts, and the recovery of jobs; at all times, the
 * ejection of suspect hosts that it owns.
 */
import type { Clock, IdSource } from "../clock/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import type { FleetState } from "../fleet/index.ts";
import type { RegisteredEntry } from "../hosts/index.ts";
import {
  type Claimer,
  JobRecovery,
  type JobRunner,
  type JobService,
  type JobStore,
} from "../jobs/index.ts";
import {
  type Confirmer,
  Controller,
  type DrainDependencies,
  drainHost,
  ejectFromPool,
  Lease,
  nextMove,
  reinstateInPool,
} from "../maintenance/index.ts";
import type { PeerNetwork } from "../peers/index.ts";
import type { SlotScheduler } from "../pipeline/index.ts";
import type { Platform, PlatformRowCheck } from "../platform/index.ts";
import type { Settings } from "../settings/index.ts";
import type { EntryEvents } from "./core_dependencies.ts";
import type { FleetActor } from "./fleet_actor.ts";
import type { Mechanisms } from "./mechanisms.ts";
import { sumFleetLoad } from "./fleet_load.ts";

/** Pause in ms between controller rounds while changes are in progress. */
const activeIntervalMs = 150;
/** Interval in ms between two searches for orphaned jobs. */
const recoveryIntervalMs = 1_000;
/** Interval in ms between two checks for hosts to eject or reinstate. */
const ejectionIntervalMs = 500;
/** Number of renewals within the duration of the lease. */
const renewalsPerLease = 3;

/** Dependencies of `Operations`. */
export interface OperationsDependencies {
  readonly self: RegisteredEntry;
  readonly platform: Platform;
  readonly endpoints: EndpointClient;
  readonly ids: IdSource;
  readonly clock: Clock;
  readonly scheduler: SlotScheduler;
  readonly network: PeerNetwork;
  readonly fleet: FleetActor;
  readonly confirmer: Confirmer;
  readonly jobStore: JobStore;
  readonly jobs: JobService;
  readonly runner: JobRunner;
  readonly timing: Required<Settings["timing"]>;
  /** Longest time in ms until a change appears in the platform's host list. */
  readonly listLagMs: number;
  /** Whether hosts are moved between pools under load. */
  readonly movesEnabled: boolean;
  readonly events: EntryEvents;
  readonly mechanisms: Mechanisms;
}

/** Runs the controller, the job recovery, the moves, and the ejections. */
export class Operations {
  readonly #lease: Lease;
  readonly #controller: Controller;
  readonly #recovery: JobRecovery;
  readonly #drainDeps: DrainDependencies;
  /** Monotonic time in ms at which each host last changed pools. */
  readonly #movedAt = new Map<string, number>();
  /**
   * Monotonic time in ms at which each claimer was last connected, or was
   * first looked up, by incarnation.
   */
  readonly #claimerLastSeen = new Map<string, number>();
  /** Hosts that this entry has ejected and not reinstated. */
  readonly #ejectedHosts = new Set<string>();
  #nextRecoveryAt = 0;
  #stopped = false;

  constructor(private readonly deps: OperationsDependencies) {
    const { self, platform, endpoints, ids, clock, timing } = deps;
    const { mechanisms } = deps;
    this.#drainDeps = {
      platform,
      endpoints,
      clock,
      checkBudget: mechanisms.checkBudget,
    };
    this.#lease = new Lease(
      platform.table,
      {
        holder: self.entry,
        incarnation: self.incarnation,
        leaseMs: timing.lease_ms,
        renewMs: timing.lease_ms / renewalsPerLease,
      },
      ids,
      clock,
    );
    this.#controller = new Controller({
      ...this.#drainDeps,
      platform,
      endpoints,
      confirmer: deps.confirmer,
      ids,
      clock,
      settings: {
        listLagMs: deps.listLagMs,
        bootMs: timing.boot_ms,
        endpointIdleProbe: mechanisms.endpointIdleProbe,
      },
      entryName: self.entry,
      table: () => deps.fleet.state.table,
      onHostRows: (rows) => deps.fleet.send({ kind: "hosts", rows }),
    });
    this.#recovery = new JobRecovery({
      store: deps.jobStore,
      service: deps.jobs,
      runner: deps.runner,
      ids,
      isClaimerGone: (claimer) => this.#isClaimerGone(claimer),
    });
  }

  /** Whether this entry holds the controller's lease. */
  get isController(): boolean {
    return this.#lease.term !== undefined;
  }

  /** Prevents further rounds; a round in progress finishes. */
  stop(): void {
    this.#stopped = true;
  }

  /** Releases the controller's lease, at shutdown. */
  async releaseLease(): Promise<void> {
    await this.#lease.release();
  }

  /**
   * Acquires or renews the lease and, while it is held, runs one round of the
   * controller. Returns the pause until the next call in ms.
   */
  async runControlRound(): Promise<number> {
    const pollMs = this.deps.timing.poll_ms;
    if (this.#stopped) return pollMs;
    await this.#lease.acquireOrRenew();
    const { term } = this.#lease;
    if (term === undefined) return pollMs;
    const active = await this.#controller.runRound(term);
    const moved = await this.#moveOneHost(term);
    await this.#recoverJobs();
    return active || moved ? activeIntervalMs : pollMs;
  }

  /** Records when hosts changed pools, for their minimum stay there. */
  recordMoves(state: FleetState, before: FleetState): void {
    for (const host of state.hosts.values()) {
      const previous = before.hosts.get(host.name);
      if (previous === undefined || previous.pool === host.pool) continue;
      this.#movedAt.set(host.name, this.deps.clock.now());
    }
  }

  /**
   * Ejects suspect hosts as far as the budgets allow, and reinstates hosts
   * that have recovered. Returns the pause until the next call in ms.
   */
  async updateEjections(): Promise<number> {
    const { scheduler, events } = this.deps;
    if (this.#stopped) return ejectionIntervalMs;
    for (const { name } of scheduler.suspectHosts()) {
      const ctx = this.#changeContext();
      const ejected = await ejectFromPool(this.#drainDeps, name, ctx);
      if (ejected.err) continue;
      scheduler.eject(name);
      this.#ejectedHosts.add(name);
      events.warn("host ejected", { host: name });
    }
    for (const { name } of scheduler.healthyHosts()) {
      if (!this.#ejectedHosts.has(name)) continue;
      const ctx = this.#changeContext();
      const reinstated = await reinstateInPool(this.#drainDeps, name, ctx);
      if (reinstated.ok) this.#ejectedHosts.delete(name);
    }
    return ejectionIntervalMs;
  }

  async #recoverJobs(): Promise<void> {
    const now = this.deps.clock.now();
    if (now < this.#nextRecoveryAt) return;
    this.#nextRecoveryAt = now + recoveryIntervalMs;
    await this.#recovery.sweep();
  }

  /** Starts the most urgent move, if any; returns whether it did. */
  async #moveOneHost(term: PlatformRowCheck): Promise<boolean> {
    const { deps } = this;
    if (!deps.movesEnabled) return false;
    const { hosts, table } = deps.fleet.state;
    const move = nextMove({
      ...sumFleetLoad(table, deps.scheduler, deps.network.members()),
      hosts,
      movedAt: this.#movedAt,
      now: deps.clock.now(),
      minStayMs: deps.timing.min_stay_ms,
    });
    if (move === undefined) return false;
    const request = {
      host: move.host,
      target: move.to,
      cause: "move",
      checks: [term],
    };
    const ctx = this.#changeContext();
    const drained = await drainHost(this.#drainDeps, request, ctx);
    if (drained.err) return false;
    deps.fleet.send({ kind: "hosts", rows: [drained.val.host] });
    return true;
  }

  #changeContext() {
    const { self, clock, ids } = this.deps;
    return { who: self.entry, at: clock.wall(), operation: ids.next() };
  }

  /** Whether a claimer has been disconnected for longer than `orphan_ms`. */
  #isClaimerGone({ entry, incarnation }: Claimer): boolean {
    if (incarnation === this.deps.self.incarnation) return false;
    const now = this.deps.clock.now();
    const connected = this.deps.network.members().some((m) =>
      m.hello.entry === entry && m.hello.incarnation === incarnation
    );
    const lastSeen = this.#claimerLastSeen.get(incarnation);
    if (connected || lastSeen === undefined) {
      this.#claimerLastSeen.set(incarnation, now);
      return false;
    }
    return now - lastSeen > this.deps.timing.orphan_ms;
  }
}
