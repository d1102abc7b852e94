/** The operator API: server, client and schemas. */
export {
  OperatorApi,
  type OperatorApiDependencies as OperatorParts,
} from "./api.ts";
export {
  OperatorClient,
  type OperatorClientOptions as OperatorTarget,
} from "./client.ts";
export * from "./api_types.ts";
