/**
 * Dependencies and callbacks of the modules that send orders to the endpoints
 * of a shard. An order is a request to an endpoint: start, stop, pace or hold.
 */
import type { JobSpec, Placement, RunEnd, TaskRef } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import {
  livenessCommitAgeMs,
  type PreviousOwner,
  type PreviousOwnerState,
  type ShardLease,
} from "../cluster/index.ts";
import type {
  EndpointRegistry,
  RunningTask,
  TaskOrders,
} from "../endpoint/index.ts";
import type { DecisionFields, DecisionLog } from "../telemetry/index.ts";
import {
  answerDeliveryMs,
  type LeaseBound,
  maxClockDrift,
  maxUnsettledOrderMs,
  taskLeaseMs,
} from "./endpoint_lease.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import type { Run, RunPhase } from "./run.ts";

/**
 * Age of the last successful commit from which an owner no longer extends the
 * leases of its tasks, in ms.
 */
export const maxCommitAgeForHoldMs = 4_500;

/** Longest time that a task lease lasts after the order that granted it, in ms. */
const maxTaskLeaseMs = taskLeaseMs * (1 + maxClockDrift) + answerDeliveryMs;

/**
 * Returns the bound on task leases from earlier owners of a shard that was taken
 * over at the monotonic time `now`, in ms. One that is only silent may have
 * extended leases until its last commit was {@link maxCommitAgeForHoldMs} old.
 */
export function inheritedLeaseBound(
  previous: PreviousOwner,
  now: number,
): LeaseBound {
  const ordersEndBy = previous.state === "ended"
    ? now
    : Math.max(now, previous.committedBy + maxCommitAgeForHoldMs);
  return {
    endsBy: ordersEndBy + maxTaskLeaseMs,
    longestEndsBy: ordersEndBy + maxUnsettledOrderMs,
  };
}

/**
 * Longest time, in ms after a takeover, that a task lease from an earlier owner
 * can last. The last commit of a silent one is {@link livenessCommitAgeMs} old then.
 */
export function maxInheritedLeaseMs(previous: PreviousOwnerState): number {
  return maxTaskLeaseMs + maxSilentOwnerMs(previous);
}

/**
 * The same for a lease that an incarnation may have granted which the order was
 * not meant for.
 */
export function longestInheritedLeaseMs(previous: PreviousOwnerState): number {
  return maxUnsettledOrderMs + maxSilentOwnerMs(previous);
}

/** Longest time after a takeover for which an earlier owner sends orders, in ms. */
function maxSilentOwnerMs(previous: PreviousOwnerState): number {
  return previous === "ended" ? 0 : maxCommitAgeForHoldMs - livenessCommitAgeMs;
}

/** Dependencies and callbacks of an `EndpointDriver` and its helpers. */
export interface DriverDependencies {
  readonly shard: string;
  readonly lease: ShardLease;
  /** What is known about the previous owner of the shard. */
  readonly previous: PreviousOwner;
  readonly orders: TaskOrders;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Called when a tracked run has ended, or an orphan run is lost. */
  onRunEnded(run: Run, end: RunEnd, checkpoint: string): void;
  /**
   * Called when an endpoint lists the end of a run that its session does not
   * track.
   */
  onUntrackedRunEnded(
    job: string,
    ref: TaskRef,
    run: number,
    end: RunEnd,
    checkpoint: string,
  ): void;
  /** Ids of the endpoints whose host has been taken down. */
  takenDownEndpoints(): ReadonlySet<string>;
  /**
   * Whether a run is still wanted: its job is not final, and its task still has
   * this run.
   */
  mayStart(run: Run): boolean;
  /**
   * Called when an endpoint lists a run that is not tracked. Records it as the
   * task's placement and returns its job; undefined if it is not wanted.
   */
  adoptPlacement(
    job: string,
    ref: TaskRef,
    placement: Placement,
  ): JobSpec | undefined;
  /** Called when an endpoint has confirmed that a run is in progress. */
  onRunConfirmed(run: Run): void;
  /** Called when an endpoint has rejected the ticket of a run. */
  onTicketRejected(run: Run, session: EndpointSession): void;
  /** Calls `action` once all changes made so far are committed. */
  whenCommitted(action: () => void): void;
  /** Called when an endpoint has become available for tasks. */
  onCapacityChange(): void;
  /** Called when the unconfirmed discards are to be stored for a next owner. */
  onDiscardUnconfirmed(): void;
  /** Called when the loop of a session has thrown an error. */
  onCrash(actor: string, err: unknown): void;
  /**
   * Called when an endpoint rejects an order because it has seen a higher
   * fencing token.
   */
  onOwnerFenced(): void;
}

/** Operations on sessions that `EndpointDriver` provides to its helpers. */
export interface SessionControl {
  /** Whether the owner has stopped and no further order may be sent. */
  readonly isStopped: boolean;
  /** Removes a run, frees its resources, and reports its end. */
  finishRun(
    session: EndpointSession,
    run: Run,
    end: RunEnd,
    reason: string,
    checkpoint?: string,
  ): void;
  /**
   * Notes a run that is absent after a stop, so that later incarnations of its
   * endpoint refuse its start, too.
   */
  noteSettledStart(session: EndpointSession, run: Run): void;
  /**
   * Tracks a run that an endpoint lists as running, if its task is to run and
   * has no other run; returns whether it does.
   */
  adoptListedRun(session: EndpointSession, listed: RunningTask): boolean;
  /**
   * Ends a session whose endpoint has restarted. Runs that the endpoint has
   * never acknowledged are kept for its next incarnation, which may still carry
   * out their start; the others end as lost.
   */
  replaceIncarnation(session: EndpointSession): void;
  /**
   * Gives an endpoint no more tasks, as it may discard ends unread, and stops its
   * runs that have an end of their own.
   */
  setAside(session: EndpointSession, reason: string): void;
  /** Stops the runs of an endpoint that is set aside which have an end. */
  stopEndingRuns(session: EndpointSession): void;
  /** Ends a session; its remaining runs end as lost. */
  endSession(session: EndpointSession, reason: string): void;
  /**
   * Sends the endpoint's next hold without waiting for the end of its pause.
   */
  holdNow(session: EndpointSession): void;
}

/** Sets the phase of a run and the monotonic time of the change, in ms. */
export function setPhase(run: Run, phase: RunPhase, now: number): void {
  run.phase = phase;
  run.phaseChangedAt = now;
}

/** Logs a decision about a run; `extraFields` are further inputs of it. */
export function logRunDecision(
  { log, shard, lease }: DriverDependencies,
  event: string,
  session: EndpointSession,
  run: Run,
  reason: string,
  extraFields: DecisionFields = {},
): void {
  log.decision(event, {
    ...extraFields,
    shard,
    term: lease.term,
    job: run.job,
    task: run.name,
    run: run.run,
    endpoint: session.endpoint.id,
    reason,
  });
}
