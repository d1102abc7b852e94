/** The typed values that move through the pipeline. */
import type { Readable } from "node:stream";
import type { Failure } from "../errors/index.ts";
import type { ClassRow } from "../table/index.ts";

/** Header names that the project defines. */
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

/** A caller's request, read whole. */
export interface CallerRequest {
  readonly id: string;
  readonly class: ClassRow;
  readonly tableVersion: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Monotonic time in ms of the latest start; undefined for patient work. */
  readonly startBy?: number;
  /** Caller's key of an at-most-once run. */
  readonly key?: string;
  readonly signal: AbortSignal;
}

/** A request as it is sent to an endpoint. */
export interface EndpointRequest {
  /** Identifies this attempt; the endpoint echoes it from the headers. */
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Longest run in ms. */
  readonly runMs: number;
}

/** An endpoint's answer, checked to belong to its request. */
export interface Answer {
  readonly kind: "answer";
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Whole when small, else a stream that fails when truncated. */
  readonly body: Uint8Array | Readable;
}

/** The end of an attempt without an answer. */
export interface Failed {
  readonly kind: "failed";
  readonly failure: Failure;
}

export type Outcome = Answer | Failed;
