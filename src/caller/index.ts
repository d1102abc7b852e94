/** The HTTP server for callers. */
export {
  type CallerServerDependencies,
  type CallerServerLimits,
  Receiver,
  type RequestEnd,
} from "./receive.ts";
export { type ClassifiedRequest, classifyRequest } from "./classify.ts";
export { readBody } from "./read_body.ts";
