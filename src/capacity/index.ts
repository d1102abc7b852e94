/**
 * Sizes of pools, from arriving work to hosts. The rate of arriving work
 * (`arrival_rate`) and the open tasks give a pool's demand for hosts
 * (`host_demand`). Endpoints beyond the demand that no waiting task needs
 * (`needed_endpoints`) are offered (`host_offers`). The
 * pool's owner reports both (`demand_reporter`, `pool_demand`), and the fleet's
 * owner plans the moves from all reports (`host_moves`).
 */
export { ArrivalRate } from "./arrival_rate.ts";
export { DemandReporter } from "./demand_reporter.ts";
export { computeHostDemand } from "./host_demand.ts";
export { type HostMove, planHostMoves } from "./host_moves.ts";
export { HostOffers } from "./host_offers.ts";
export {
  neededEndpoints,
  type NeededEndpointsInput,
} from "./needed_endpoints.ts";
export {
  type PoolDemand,
  poolDemandKey,
  poolDemandSchema,
} from "./pool_demand.ts";
export type { IsLate, PoolEndpoint, PoolJob } from "./pool_state.ts";
export {
  type ProviderHost,
  type ProviderHostState,
  providerHostStates,
} from "./provider_host.ts";
