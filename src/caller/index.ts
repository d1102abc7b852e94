/** The HTTP server for callers. */
export {
  type CallerServerDependencies as ReceiverParts,
  type CallerServerLimits as ReceiveLimits,
  Receiver,
  type RequestEnd,
} from "./receive.ts";
export {
  type ClassifiedRequest as Classified,
  classifyRequest,
} from "./classify.ts";
export { readBody } from "./read_body.ts";
