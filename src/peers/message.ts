/**
 * Messages between entries.
 *
 * To forward a request, its origin first acquires a slot from the entry that
 * owns the host, and sends the request in `run` only after the grant. A link
 * that breaks before `run` was sent therefore proves that the request did not
 * run.
 */
import * as v from "valibot";
import { hostSchema } from "../hosts/index.ts";
import { tableDeltaSchema } from "../table/index.ts";

const idSchema = v.pipe(v.string(), v.maxLength(128));
const headersSchema = v.record(v.string(), v.string());
const bytesSchema = v.custom<Uint8Array>((value) =>
  value instanceof Uint8Array
);

/** The first message on a link: the sender's identity and the shared token. */
export const helloSchema = v.object({
  kind: v.literal("hello"),
  entry: idSchema,
  incarnation: idSchema,
  zone: idSchema,
  token: v.string(),
});

/** Load of one pool on the hosts that an entry owns. */
export const poolLoadSchema = v.object({
  /** Slots that may be used, given the health of the hosts. */
  slots: v.number(),
  /** Usable slots that are not busy. */
  free: v.number(),
  /** Requests that wait for a slot. */
  queued: v.number(),
  /** Queued requests that are urgent. */
  urgent: v.number(),
});

/** Sent to every peer at a fixed interval: the sender's state and loads. */
export const heartbeatSchema = v.object({
  kind: v.literal("heartbeat"),
  tableVersion: v.number(),
  /**
   * Sum of the epochs of all known hosts. A receiver whose own sum is lower
   * lacks rows.
   */
  epochSum: v.number(),
  /** Loads on the owned hosts, by pool. */
  loads: v.record(v.string(), poolLoadSchema),
  /** Busy slots by owned host, for an entry that may take the host over. */
  busy: v.record(v.string(), v.number()),
  shuttingDown: v.boolean(),
});

/** Sends a delta of the table. */
const tableMessageSchema = v.object({
  kind: v.literal("table"),
  delta: tableDeltaSchema,
});

/** Requests the whole table. */
const tableRequestSchema = v.object({ kind: v.literal("table-request") });

/** Sends host rows and the names of unlisted hosts. */
const hostsMessageSchema = v.object({
  kind: v.literal("hosts"),
  rows: v.array(hostSchema),
  /** Hosts that the platform lists as leaving or gone. */
  unlisted: v.array(v.string()),
});

/** Requests all host rows and the names of unlisted hosts. */
const hostsRequestSchema = v.object({ kind: v.literal("hosts-request") });

/** Asks a peer to confirm that it has applied an epoch of a host. */
const confirmSchema = v.object({
  kind: v.literal("confirm"),
  id: idSchema,
  host: v.string(),
  epoch: v.number(),
});

/** Answers `confirm`. */
const confirmedSchema = v.object({
  kind: v.literal("confirmed"),
  id: idSchema,
  /** Whether the epoch is applied and no work is in flight to the host. */
  ok: v.boolean(),
  /** Number of requests in flight to the host. */
  inFlight: v.number(),
});

/** Requests a slot for one request of a class. */
export const acquireSchema = v.object({
  kind: v.literal("acquire"),
  id: idSchema,
  class: v.string(),
  /** Time in ms until the latest start; absent for patient work. */
  startInMs: v.optional(v.number()),
  /** Hosts that failed the request; used only if no other has a free slot. */
  avoid: v.array(v.string()),
});

/** Grants a slot of a host. */
const grantedSchema = v.object({
  kind: v.literal("granted"),
  id: idSchema,
  host: v.string(),
  /** Load of the host's pool after the grant. */
  load: poolLoadSchema,
});

/** Refuses a slot with the number of a result code. */
const refusedSchema = v.object({
  kind: v.literal("refused"),
  id: idSchema,
  code: v.number(),
});

/** Withdraws a request for a slot, releases a granted one, or aborts a run. */
const cancelSchema = v.object({ kind: v.literal("cancel"), id: idSchema });

/** Sends a request on a granted slot. */
export const runSchema = v.object({
  kind: v.literal("run"),
  id: idSchema,
  attempt: idSchema,
  method: v.string(),
  path: v.string(),
  headers: headersSchema,
  body: bytesSchema,
  /** Longest run in ms. */
  runMs: v.number(),
});

/** Starts the endpoint's answer to a run. */
const answerSchema = v.object({
  kind: v.literal("answer"),
  id: idSchema,
  status: v.number(),
  headers: headersSchema,
  /** The whole body; absent when chunks follow. */
  body: v.optional(bytesSchema),
});

/** A part of an answer's body. */
const chunkSchema = v.object({
  kind: v.literal("chunk"),
  id: idSchema,
  data: bytesSchema,
});

/** Ends an answer that was sent in chunks. */
const endSchema = v.object({
  kind: v.literal("end"),
  id: idSchema,
  /** Total length of the chunks in bytes. */
  bytes: v.number(),
  /** False when the endpoint's answer was truncated. */
  complete: v.boolean(),
});

/** Ends a run without an answer; `code` is the number of a result code. */
const failedSchema = v.object({
  kind: v.literal("failed"),
  id: idSchema,
  code: v.number(),
  message: v.string(),
});

/** Schema of every message, by `kind`. */
export const messageSchema = v.variant("kind", [
  helloSchema,
  heartbeatSchema,
  tableMessageSchema,
  tableRequestSchema,
  hostsMessageSchema,
  hostsRequestSchema,
  confirmSchema,
  confirmedSchema,
  acquireSchema,
  grantedSchema,
  refusedSchema,
  cancelSchema,
  runSchema,
  answerSchema,
  chunkSchema,
  endSchema,
  failedSchema,
]);

/** A message between entries. */
export type Message = v.InferOutput<typeof messageSchema>;
/** The first message on a link. */
export type Hello = v.InferOutput<typeof helloSchema>;
/** The periodic message to every peer. */
export type Heartbeat = v.InferOutput<typeof heartbeatSchema>;
/** A request for a slot. */
export type AcquireMessage = v.InferOutput<typeof acquireSchema>;
/** A request on a granted slot. */
export type RunMessage = v.InferOutput<typeof runSchema>;
/** A message of one kind. */
export type MessageOf<K extends Message["kind"]> = Extract<
  Message,
  { kind: K }
>;
