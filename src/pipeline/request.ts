/** The types of requests and outcomes that pass through the pipeline. */
import type { Readable } from "node:stream";
import type { Failure } from "../errors/index.ts";
import type { ClassRow } from "../table/index.ts";

/** Names of the HTTP headers with a meaning to the pipeline. */
export const headerNames = {
  requestId: "briartide-request-id",
  class: "briartide-class",
  pool: "briartide-pool",
  price: "briartide-price",
  tableVersion: "briartide-table-version",
  code: "briartide-code",
  run: "briartide-run",
  host: "briartide-host",
  deadline: "briartide-deadline-ms",
  key: "idempotency-key",
} as const;

/** A caller's request with its whole body. */
export interface CallerRequest {
  readonly id: string;
  readonly class: ClassRow;
  /** Version of the table that the class comes from. */
  readonly tableVersion: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Monotonic time in ms of the latest start; undefined for patient work. */
  readonly startBy?: number;
  /** Idempotency key that the caller gave for an at-most-once run. */
  readonly key?: string;
  /** Aborted when the caller no longer waits for the answer. */
  readonly signal: AbortSignal;
}

/** A request as it is sent to an endpoint. */
export interface EndpointRequest {
  /** Id of this attempt; the endpoint echoes it from the request id header. */
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Longest run in ms. */
  readonly runMs: number;
}

/** An endpoint's answer; its request id matches the attempt's. */
export interface Answer {
  readonly kind: "answer";
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** The whole body if it is small; else a stream, which fails if truncated. */
  readonly body: Uint8Array | Readable;
}

/** The end of an attempt without an answer. */
export interface Failed {
  readonly kind: "failed";
  readonly failure: Failure;
}

/** The end of an attempt, with or without an answer. */
export type Outcome = Answer | Failed;
