/** What a process holds for its clients, and the limits on it. */
export { ConnectionBudget } from "./budget.ts";
export {
  createGuardedServer,
  defaultGuard,
  type Guard,
} from "./guarded_server.ts";
export {
  type ClientLimit,
  type LimitEvents,
  LimitSummarizer,
  type LimitSummary,
} from "./limit_events.ts";
export {
  type ConnectionLimits,
  defaultConnectionLimits,
  sideListenerLimits,
} from "./limits.ts";
export { readBody } from "./read_body.ts";
export { guardOf } from "./request.ts";
export { sendResponse } from "./send_response.ts";
