/** The request pipeline: admission, placement, slots, and execution. */
export {
  type Answer,
  type CallerRequest,
  type EndpointRequest,
  headerNames,
  type Outcome,
} from "./request.ts";
export { Admission } from "./admission.ts";
export { RetryBudget } from "./retry_budget.ts";
export { type PoolLoad, SlotScheduler } from "./slot_scheduler.ts";
export type { SlotOutcome, Ticket } from "./ticket.ts";
export { LocalSlots, type SendGuard } from "./local_slots.ts";
export { SlotClient } from "./slot_client.ts";
export { SlotServer } from "./slot_server.ts";
export { type PeerLoads, Router, type Slot } from "./router.ts";
export {
  type Execution,
  Executor,
  outcomeCode,
  toEndpointRequest,
} from "./executor.ts";
