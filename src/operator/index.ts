/** The operator API: server, client and schemas. */
export { OperatorApi, type OperatorApiDependencies } from "./api.ts";
export { OperatorClient, type OperatorClientOptions } from "./client.ts";
export * from "./api_types.ts";
