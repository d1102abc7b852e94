/**
 * What a shard's owner knows of its endpoints: sessions, leases, and the runs that
 * may be in progress there.
 */
export {
  type DriverDependencies,
  logRunDecision,
  longestInheritedLeaseMs,
  maxInheritedLeaseMs,
  type SessionControl,
  setPhase,
} from "./driver_dependencies.ts";
export { DiscardGate } from "./discard_gate.ts";
export { EndDiscards } from "./end_discards.ts";
export { EndedIncarnations } from "./ended_incarnations.ts";
export { EndpointDriver } from "./endpoint_driver.ts";
export { holdWaitMs } from "./endpoint_holds.ts";
export {
  EndpointLease,
  type LeaseBound,
  maxUnsettledOrderMs,
  noLease,
  runEndsBy,
} from "./endpoint_lease.ts";
export { cpuForJobs, EndpointSession, freeCpu } from "./endpoint_session.ts";
export { acceptsTasks, failureRatio, withFailure } from "./failure_history.ts";
export { toPoolEndpoint, toPoolEndpoints } from "./pool_endpoint.ts";
export { type PoolUsage, usageOf, usedShare } from "./pool_usage.ts";
export {
  noUnconfirmedDiscards,
  UnconfirmedDiscards,
} from "./unconfirmed_discards.ts";
export type { Run, RunPhase } from "./run.ts";
