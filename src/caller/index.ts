/** The HTTP server for callers. */
export type {
  RequestServerDependencies,
  RequestServerLimits,
} from "./dependencies.ts";
export type { EndedRequest } from "./exchange.ts";
export { RequestServer } from "./request_server.ts";
export { type ClassifiedRequest, classifyRequest } from "./classify.ts";
