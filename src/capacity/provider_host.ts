/** Hosts as the provider lists them. */

/** States of a host; `upkeep`: down for maintenance. */
export const providerHostStates = ["up", "moving", "upkeep", "down"] as const;
/** State of a host. */
export type ProviderHostState = typeof providerHostStates[number];

/** A host as listed by the provider. */
export interface ProviderHost {
  readonly host: string;
  readonly pool: string;
  readonly state: ProviderHostState;
  readonly zone: string;
  /** Id of the endpoint that runs on it; empty for none. */
  readonly endpoint: string;
}
