/**
 * Placement passes: which waiting tasks start on which endpoints.
 */
export { AdvisedSteps } from "./advised_steps.ts";
export {
  chooseEndpoint,
  isEligible,
  type PlacementCandidate,
} from "./endpoint_choice.ts";
export { PassTimer } from "./pass_timer.ts";
export { Placer } from "./placer.ts";
export { type EndpointPolicy, planStarts } from "./planner.ts";
export { findOversizedStep } from "./task_sizes.ts";
export { TicketCache } from "./ticket_cache.ts";
