/** The HTTP server for callers. */
export {
  type EndedRequest,
  RequestServer,
  type RequestServerDependencies,
  type RequestServerLimits,
} from "./request_server.ts";
export { type ClassifiedRequest, classifyRequest } from "./classify.ts";
export { readBody } from "./read_body.ts";
