/**
 * The order of waiting jobs, and which of them are deferred in an overload.
 */
export { DeferredJobs, type PoolLoad } from "./deferred_jobs.ts";
export { occurrenceKey, rankOfJob } from "./job_rank.ts";
export {
  type LoadDecision,
  type LoadOutcome,
  type LoadPlan,
  msUntilRoom,
  planLoad,
  type WaitingJob,
} from "./load_plan.ts";
export { createLateFilter } from "./late_filter.ts";
export {
  msUntilRoomFor,
  type Outlook,
  OutlookReporter,
  outlookSchema,
  outlookTable,
} from "./outlook.ts";
export { OverdueJobs } from "./overdue_jobs.ts";
export {
  type PendingJob,
  selectDeferredJobs,
  type Standing,
  standings,
  type StartCapacity,
} from "./overload.ts";
export {
  compareRanks,
  decidedRank,
  occurrenceTimes,
  type Rank,
  rankAt,
  remainingChainsMs,
} from "./task_order.ts";
export { WorkspaceStandings } from "./workspace_standings.ts";
