/** Bodies of the operator API, shared by the server and the command line. */
import * as v from "valibot";
import { auditRecordSchema } from "../audit/index.ts";
import { hostSchema } from "../hosts/index.ts";
import { jobSchema } from "../jobs/index.ts";
import { waveSchema } from "../maintenance/index.ts";
import { versionedRowSchema } from "../table/index.ts";

export const tableReplySchema = v.object({
  version: v.number(),
  rows: v.array(versionedRowSchema),
});

export const editReplySchema = v.object({ version: v.number() });

export const entryVersionSchema = v.object({
  entry: v.string(),
  zone: v.string(),
  /** Version in force there; null when the entry cannot be reached. */
  version: v.nullable(v.number()),
});

/** Which entries have a version of the table in force. */
export const forceReplySchema = v.object({
  version: v.number(),
  confirmed: v.array(v.string()),
  /** Reachable entries that have not confirmed yet. */
  pending: v.array(v.string()),
  /** Registered entries that cannot be reached from here. */
  unreachable: v.array(v.string()),
});

export const statusReplySchema = v.object({
  entry: v.string(),
  zone: v.string(),
  ready: v.boolean(),
  controller: v.boolean(),
  tableVersion: v.number(),
  ownedHosts: v.number(),
  inFlight: v.number(),
  jobs: v.number(),
  pauses: v.number(),
  retries: v.number(),
  platform: v.object({
    readCalls: v.number(),
    commitCalls: v.number(),
    transactions: v.number(),
  }),
  peers: v.object({
    framesOut: v.number(),
    bytesOut: v.number(),
    framesIn: v.number(),
    bytesIn: v.number(),
  }),
  entries: v.array(entryVersionSchema),
});

export const hostsReplySchema = v.object({ hosts: v.array(hostSchema) });
export const hostReplySchema = v.object({ host: hostSchema });
export const wavesReplySchema = v.object({ waves: v.array(waveSchema) });
export const waveReplySchema = v.object({ wave: waveSchema });
export const jobsReplySchema = v.object({ jobs: v.array(jobSchema) });
export const jobReplySchema = v.object({ job: jobSchema });
export const auditReplySchema = v.object({
  records: v.array(auditRecordSchema),
});

export const moveRequestSchema = v.object({ pool: v.string() });
export const settleRequestSchema = v.object({
  as: v.picklist(["done", "not-run"]),
});
export const wavePlanSchema = v.object({
  id: v.pipe(v.string(), v.regex(/^[a-z0-9-]{1,48}$/)),
  /** Hosts by name, or all hosts of the named pools. */
  hosts: v.optional(v.array(v.string()), []),
  pools: v.optional(v.array(v.string()), []),
  parallel: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(1000)),
});

export const failureReplySchema = v.object({
  code: v.number(),
  name: v.string(),
  message: v.string(),
  issues: v.optional(v.array(v.object({
    key: v.string(),
    value: v.string(),
    allowed: v.string(),
  }))),
  conflicts: v.optional(v.array(v.object({
    row: v.string(),
    yours: v.unknown(),
    theirs: v.unknown(),
    theirVersion: v.number(),
  }))),
});

export type ForceReply = v.InferOutput<typeof forceReplySchema>;
export type StatusReply = v.InferOutput<typeof statusReplySchema>;
/** The part of a status that the entry itself supplies. */
export type EntryStatus = Omit<
  StatusReply,
  "entry" | "zone" | "tableVersion" | "entries"
>;
