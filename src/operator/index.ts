/** The operator API and its client. */
export { OperatorApi, type OperatorParts } from "./api.ts";
export { OperatorClient, type OperatorTarget } from "./client.ts";
export * from "./api_types.ts";
