/** What the drivers of a shard's endpoints work with, and whom they tell. */
import type { RunEnd, TaskRef } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import {
  memberLeaseMs,
  type PreviousOwner,
  type ShardLease,
} from "../cluster/index.ts";
import type { EndpointRegistry, TaskOrders } from "../endpoint/index.ts";
import type { DecisionFields, DecisionLog } from "./decision_log.ts";
import {
  answerDeliveryMs,
  type EndpointSession,
  maxClockDrift,
  type Run,
  type RunPhase,
  taskLeaseMs,
} from "./endpoint_session.ts";

/**
 * How long an owner that can't renew its own lease goes on holding those of
 * its tasks, in ms.
 */
export const maxCommitAgeForHoldMs = 4_500;

/** Longest time that a lease of the owner before may still last, in ms. */
export function maxInheritedLeaseMs(previous: PreviousOwner): number {
  const lease = taskLeaseMs * (1 + maxClockDrift) + answerDeliveryMs;
  if (previous === "ended") return lease;
  return lease + maxCommitAgeForHoldMs - memberLeaseMs;
}

/** What all drivers work with. */
export interface DriverParts {
  readonly shard: string;
  readonly lease: ShardLease;
  readonly previous: PreviousOwner;
  readonly orders: TaskOrders;
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** A run of this shard has ended. */
  runEnded(run: Run, end: RunEnd, checkpoint: string): void;
  /** An endpoint lists the end of a run that is not its present one. */
  untrackedRunEnded(
    job: string,
    ref: TaskRef,
    run: number,
    end: RunEnd,
    checkpoint: string,
  ): void;
  /** Ids of endpoints whose host was taken down. */
  takenDownEndpoints(): ReadonlySet<string>;
  /** Whether an intended run should still start. */
  mayStart(run: Run): boolean;
  /** A run was confirmed by its endpoint. */
  runConfirmed(run: Run): void;
  /** An endpoint did not take the ticket of a run. */
  ticketRejected(run: Run, session: EndpointSession): void;
  /** Calls back once all changes so far are committed. */
  whenCommitted(action: () => void): void;
  /** Room or endpoints have changed. */
  capacityChanged(): void;
  /** An endpoint has seen a higher fencing token. */
  ownerFenced(): void;
}

/** What one driver asks of the others. */
export interface SessionControl {
  /** Whether no further order may be sent. */
  readonly isStopped: boolean;
  /** Ends a run and frees its room. */
  finishRun(
    session: EndpointSession,
    run: Run,
    end: RunEnd,
    reason: string,
    checkpoint?: string,
  ): void;
  /** Ends a session; what ran in that life is lost. */
  endSession(session: EndpointSession, reason: string): void;
  /** Looks at an endpoint again at once. */
  holdNow(session: EndpointSession): void;
}

/** Notes a run's phase and since when it is in it. */
export function setPhase(run: Run, phase: RunPhase, now: number): void {
  run.phase = phase;
  run.changedAt = now;
}

/** Tells a decision about a run, and what else it went by. */
export function logRunDecision(
  { log, shard, lease }: DriverParts,
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
