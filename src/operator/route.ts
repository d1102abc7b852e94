/** Routes of the operator API: what they depend on, match and receive. */
import type { Result } from "ts-results";
import type { Clock, IdSource } from "../clock/index.ts";
import type { ConnectionBudget } from "../connection_budget/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import type { Failure } from "../errors/index.ts";
import type { FleetEvent, FleetState } from "../fleet/index.ts";
import type { JobService } from "../jobs/index.ts";
import type { PeerMember } from "../peers/index.ts";
import type { Platform } from "../platform/index.ts";
import type { ChangeContext } from "../table/index.ts";
import type { EntryStatus } from "./api_types.ts";
import type { EntryView } from "./table_confirmations.ts";

/** Dependencies of the operator API. */
export interface OperatorApiDependencies {
  /** Bearer token that requests must present. */
  readonly token: string;
  /** Id of this entry. */
  readonly entry: string;
  /** Availability zone of this entry. */
  readonly zone: string;
  readonly platform: Platform;
  readonly endpoints: EndpointClient;
  readonly jobs: JobService;
  readonly ids: IdSource;
  readonly clock: Clock;
  /** Budget for what clients make the process hold; its own if absent. */
  readonly budget?: ConnectionBudget;
  /** Returns the fleet state as this entry knows it. */
  fleetState(): FleetState;
  /** Returns the entries connected to this one. */
  members(): readonly PeerMember[];
  /** Queues an event that updates the fleet state. */
  applyEvent(event: FleetEvent): void;
  /** Returns the entry's own part of the status reply. */
  status(): EntryStatus;
}

/** A request that matched a route. */
export interface OperatorRequest {
  /** Parsed JSON body; undefined if there is none. */
  readonly body: unknown;
  readonly query: URLSearchParams;
  /** Decoded groups of the route's path pattern. */
  readonly pathArgs: readonly string[];
  readonly ctx: ChangeContext;
}

/** Handles a request and returns the body of the reply. */
export type Handler = (
  call: OperatorRequest,
) => Promise<Result<unknown, Failure>>;

/** An operation: its method, the pattern of its path, and its handler. */
export interface Route {
  readonly method: string;
  readonly path: RegExp;
  readonly handle: Handler;
}

/** Returns a route for `GET` requests. */
export function get(path: RegExp, handle: Handler): Route {
  return { method: "GET", path, handle };
}

/** Returns a route for `POST` requests. */
export function post(path: RegExp, handle: Handler): Route {
  return { method: "POST", path, handle };
}

/** Collects what the replying entry knows of the other entries. */
export function entryView(deps: OperatorApiDependencies): EntryView {
  const { entry, zone } = deps;
  return { entry, zone, state: deps.fleetState(), members: deps.members() };
}
