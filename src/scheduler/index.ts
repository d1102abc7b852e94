/**
 * The scheduler: the owner of a shard, which places the tasks of its jobs on
 * endpoints and supervises their runs.
 */
export { CommitQueue } from "./commit_queue.ts";
export type { DecisionFields, DecisionLog } from "./decision_log.ts";
export { EndpointSession, type Run, taskLeaseMs } from "./endpoint_session.ts";
export { type DueWork, selectDeferredJobs } from "./feasible.ts";
export { JobRegistry, type TrackedJob } from "./job_book.ts";
export { ArrivalRate } from "./arrival_rate.ts";
export { RunSupervisor, type SupervisorDriver } from "./caretaker.ts";
export { PassTimer } from "./plan_timer.ts";
export { RunIndex } from "./run_index.ts";
export { compareRanks, deferRank, occurrenceTimes, rankAt } from "./order.ts";
export { computePaceChanges, highestLatencyRatio } from "./pace.ts";
export {
  addResources,
  chooseEndpoint,
  isEligible,
  type PlacementCandidate,
  reservedResources,
} from "./place.ts";
export { planStarts } from "./planner.ts";
export { TicketCache } from "./ticket_book.ts";
export { RunTimes } from "./run_times.ts";
export { ShardOwner } from "./shard_owner.ts";
export type { ShardParts } from "./shard_parts.ts";
export {
  acceptsTasks,
  type FailureHistory,
  noFailures,
  withFailure,
} from "./suspicion.ts";
