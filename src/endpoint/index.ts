/** Endpoints: their registry, HTTP client, task orders and advice service. */
export type { Advice, Advisor } from "./advisor.ts";
export {
  type EndpointClient,
  type EndpointHealth,
  endpointHealthSchema,
  HttpEndpointClient,
  isStream,
  maxBufferedAnswerBytes,
  type RunQuery,
  type RunState,
  runStateSchema,
} from "./endpoint_client.ts";
export {
  EndpointRegistry,
  type RegistryChange,
  type TaskEndpoint,
} from "./registry.ts";
export * from "./task_orders.ts";
