/** Limits on what clients make the process hold. */
import type { Server } from "node:http";

/** Limits that all listeners of a process share, and those of each of them. */
export interface ConnectionLimits {
  /** Most open connections of a listener for callers. */
  readonly connections: number;
  /** Most requests on a connection that have no complete response. */
  readonly requestsAhead: number;
  /** Most memory that the process holds for its clients, in bytes. */
  readonly heldBytes: number;
  /** Largest size of a request's headers, in bytes. */
  readonly headerBytes: number;
  /** Longest time to receive the headers of a request, in ms. */
  readonly headersMs: number;
  /** Longest time to receive a whole request, in ms. */
  readonly requestMs: number;
  /** Time after which an idle connection is closed, in ms. */
  readonly idleMs: number;
  /**
   * Time after which a connection without any transfer is closed, in ms, also
   * while a request of it is handled; 0 for never.
   */
  readonly stallMs: number;
}

/** Limits that no client meets which keeps to the documented sizes and times. */
export const defaultConnectionLimits: ConnectionLimits = {
  connections: 2_048,
  requestsAhead: 32,
  heldBytes: 24 * 1024 * 1024,
  headerBytes: 24 * 1024,
  headersMs: 60_000,
  requestMs: 60_000,
  idleMs: 60_000,
  stallMs: 120_000,
};

/** Share of the counts that a listener not meant for callers may use. */
const sideListenerShare = 1 / 8;

/** Limits of a listener that isn't meant for callers, such as the metrics'. */
export function sideListenerLimits(limits: ConnectionLimits): ConnectionLimits {
  return {
    ...limits,
    connections: Math.ceil(limits.connections * sideListenerShare),
    requestsAhead: Math.ceil(limits.requestsAhead * sideListenerShare),
  };
}

/** Most headers of a request; further ones are ignored. */
export const maxHeaderCount = 256;

/** Memory of a name or a value of a header besides its characters, in bytes. */
export const headerOverheadBytes = 64;

/** Longest interval between two checks of the time limits, in ms. */
const maxCheckIntervalMs = 1_000;

/** Options of an HTTP server that follow from the limits. */
export function serverOptions(limits: ConnectionLimits) {
  const { headerBytes, headersMs, requestMs, idleMs } = limits;
  return {
    maxHeaderSize: headerBytes,
    headersTimeout: Math.min(headersMs, requestMs),
    requestTimeout: requestMs,
    connectionsCheckingInterval: Math.min(maxCheckIntervalMs, requestMs),
    keepAliveTimeout: idleMs,
    // Node.js would create a response for each request without this header,
    // outside of the limit on requests ahead; `GuardedServer` rejects them.
    requireHostHeader: false,
  };
}

/** Applies the limits that HTTP servers take as properties. */
export function applyServerLimits(
  server: Server,
  limits: ConnectionLimits,
): void {
  server.maxHeadersCount = maxHeaderCount;
  server.timeout = limits.stallMs;
}
