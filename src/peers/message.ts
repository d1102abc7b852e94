/**
 * Messages between entries.
 *
 * Slots travel before requests: the origin asks an owner for a slot, and
 * sends the request only after the grant. A link that breaks before `run`
 * was sent therefore proves that the request did not run.
 */
import * as v from "valibot";
import { hostSchema } from "../hosts/index.ts";
import { tableDeltaSchema } from "../table/index.ts";

const idSchema = v.pipe(v.string(), v.maxLength(128));
const headersSchema = v.record(v.string(), v.string());
const bytesSchema = v.custom<Uint8Array>((value) =>
  value instanceof Uint8Array
);

export const helloSchema = v.object({
  kind: v.literal("hello"),
  entry: idSchema,
  incarnation: idSchema,
  zone: idSchema,
  token: v.string(),
});

export const poolLoadSchema = v.object({
  slots: v.number(),
  free: v.number(),
  queued: v.number(),
  urgent: v.number(),
});

export const heartbeatSchema = v.object({
  kind: v.literal("heartbeat"),
  tableVersion: v.number(),
  /** Sum of the epochs of all known hosts; differs when a host row differs. */
  epochSum: v.number(),
  /** Load per pool on the owned hosts. */
  loads: v.record(v.string(), poolLoadSchema),
  /** Busy slots per owned host, for the owner that may have to take over. */
  busy: v.record(v.string(), v.number()),
  shuttingDown: v.boolean(),
});

const tableMessageSchema = v.object({
  kind: v.literal("table"),
  delta: tableDeltaSchema,
});

const tableRequestSchema = v.object({ kind: v.literal("table-request") });

const hostsMessageSchema = v.object({
  kind: v.literal("hosts"),
  rows: v.array(hostSchema),
  /** Hosts that the platform lists as leaving or gone. */
  unlisted: v.array(v.string()),
});

const hostsRequestSchema = v.object({ kind: v.literal("hosts-request") });

const confirmSchema = v.object({
  kind: v.literal("confirm"),
  id: idSchema,
  host: v.string(),
  epoch: v.number(),
});

const confirmedSchema = v.object({
  kind: v.literal("confirmed"),
  id: idSchema,
  /** Whether the epoch is applied with nothing in flight to the host. */
  ok: v.boolean(),
  inFlight: v.number(),
});

export const acquireSchema = v.object({
  kind: v.literal("acquire"),
  id: idSchema,
  class: v.string(),
  /** Time left until the latest start in ms; absent for patient work. */
  startInMs: v.optional(v.number()),
  avoid: v.array(v.string()),
});

const grantedSchema = v.object({
  kind: v.literal("granted"),
  id: idSchema,
  host: v.string(),
  /** Load of the host's pool after the grant. */
  load: poolLoadSchema,
});

const refusedSchema = v.object({
  kind: v.literal("refused"),
  id: idSchema,
  code: v.number(),
});

/** Withdraws a ticket, gives back a granted slot, or aborts a run. */
const cancelSchema = v.object({ kind: v.literal("cancel"), id: idSchema });

export const runSchema = v.object({
  kind: v.literal("run"),
  id: idSchema,
  attempt: idSchema,
  method: v.string(),
  path: v.string(),
  headers: headersSchema,
  body: bytesSchema,
  runMs: v.number(),
});

const answerSchema = v.object({
  kind: v.literal("answer"),
  id: idSchema,
  status: v.number(),
  headers: headersSchema,
  /** The whole body, or absent when chunks follow. */
  body: v.optional(bytesSchema),
});

const chunkSchema = v.object({
  kind: v.literal("chunk"),
  id: idSchema,
  data: bytesSchema,
});

/** Ends an answer's chunks; `bytes` is their total length. */
const endSchema = v.object({
  kind: v.literal("end"),
  id: idSchema,
  bytes: v.number(),
  complete: v.boolean(),
});

const failedSchema = v.object({
  kind: v.literal("failed"),
  id: idSchema,
  code: v.number(),
  message: v.string(),
});

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

export type Message = v.InferOutput<typeof messageSchema>;
export type Hello = v.InferOutput<typeof helloSchema>;
export type Heartbeat = v.InferOutput<typeof heartbeatSchema>;
export type AcquireMessage = v.InferOutput<typeof acquireSchema>;
export type RunMessage = v.InferOutput<typeof runSchema>;
/** A message of one kind. */
export type MessageOf<K extends Message["kind"]> = Extract<
  Message,
  { kind: K }
>;
