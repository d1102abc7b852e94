/**
 * The scheduler: the owner of a shard, which places the tasks of its jobs on
 * endpoints and supervises their runs.
 */
export { CommitQueue } from "./commit_queue.ts";
export { taskLeaseMs } from "./endpoint_lease.ts";
export { EndpointSession, type Run } from "./endpoint_session.ts";
export {
  type PendingJob,
  selectDeferredJobs,
  type StartCapacity,
} from "./overload.ts";
export { JobRegistry, type TrackedJob } from "./job_registry.ts";
export { RunSupervisor, type SupervisorDriver } from "./run_supervisor.ts";
export { PassTimer } from "./pass_timer.ts";
export { RunIndex } from "./run_index.ts";
export {
  compareRanks,
  deferRank,
  occurrenceTimes,
  rankAt,
  remainingChainsMs,
} from "./task_order.ts";
export { computePaceChanges, highestLatencyRatio } from "./filler_pace.ts";
export {
  chooseEndpoint,
  isEligible,
  type PlacementCandidate,
} from "./endpoint_choice.ts";
export { type EndpointPolicy, planStarts } from "./planner.ts";
export { TicketCache } from "./ticket_cache.ts";
export { RunTimes } from "./run_times.ts";
export { ShardOwner } from "./shard_owner.ts";
export type { ShardDependencies } from "./shard_dependencies.ts";
export {
  acceptsTasks,
  type FailureHistory,
  noFailures,
  withFailure,
} from "./failure_history.ts";
