/** The operator API: server, client and schemas. */
export { OperatorApi } from "./api.ts";
export type { OperatorApiDependencies } from "./route.ts";
export { OperatorClient, type OperatorClientOptions } from "./client.ts";
export * from "./api_types.ts";
