/** What the server for callers depends on, and its limits. */
import type { Clock, IdSource } from "../clock/index.ts";
import type { ConnectionBudget } from "../connection_budget/index.ts";
import type { ResultCode } from "../errors/index.ts";
import type { JobService, JobStore } from "../jobs/index.ts";
import type { Admission, Executor } from "../pipeline/index.ts";
import type { Table } from "../table/index.ts";
import type { EndedRequest } from "./exchange.ts";

/** Limits of the server. */
export interface RequestServerLimits {
  /** Maximum total size of the headers of a request, in bytes. */
  readonly maxHeaderBytes: number;
  /** Maximum size of a request body in bytes. */
  readonly maxBodyBytes: number;
  /** Maximum time to receive a whole request, in ms. */
  readonly requestTimeoutMs: number;
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** Maximum number of requests on a connection without complete response. */
  readonly maxRequestsAhead?: number;
}

/** Dependencies of the server. */
export interface RequestServerDependencies {
  readonly limits: RequestServerLimits;
  /** Budget for what callers make the process hold; its own if absent. */
  readonly budget?: ConnectionBudget;
  readonly admission: Admission;
  readonly executor: Executor;
  readonly jobs: JobService;
  readonly jobStore: JobStore;
  readonly ids: IdSource;
  readonly clock: Clock;
  /** Returns the table in force. */
  table(): Table;
  /** Returns the number of live entries, including this one. */
  liveEntryCount(): number;
  /** Returns why requests are refused, or undefined if they are accepted. */
  notReadyReason(): ResultCode | undefined;
  /** Called once for each ended request. */
  onRequestEnded(end: EndedRequest): void;
}
