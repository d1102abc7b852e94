/** The caller port. */
export {
  type CallerServerDependencies as ReceiverParts,
  type CallerServerLimits as ReceiveLimits,
  Receiver,
  type RequestEnd,
} from "./caller_server.ts";
export {
  type ClassifiedRequest as Classified,
  classifyRequest,
} from "./classify.ts";
export { readBody } from "./read_body.ts";
