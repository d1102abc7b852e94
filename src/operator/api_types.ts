/** Schemas of the operator API's bodies, for the server and its clients. */
import * as v from "valibot";
import { auditRecordSchema } from "../audit/index.ts";
import { hostSchema } from "../hosts/index.ts";
import { jobSchema } from "../jobs/index.ts";
import { waveSchema } from "../maintenance/index.ts";
import { versionedRowSchema } from "../table/index.ts";

/** The table and its version. */
export const tableReplySchema = v.object({
  version: v.number(),
  rows: v.array(versionedRowSchema),
});

/** The table version that an edit created. */
export const editReplySchema = v.object({ version: v.number() });

/** The table version of one entry. */
export const entryVersionSchema = v.object({
  entry: v.string(),
  zone: v.string(),
  /** Table version in force on the entry; null if it is unreachable. */
  version: v.nullable(v.number()),
});

/** Entries by whether a version of the table is in force on them. */
export const confirmationReplySchema = v.object({
  /** The requested version. */
  version: v.number(),
  /** Entries on which this or a later version is in force. */
  confirmed: v.array(v.string()),
  /** Reachable entries on which an older version is in force. */
  pending: v.array(v.string()),
  /** Registered entries that the replying entry cannot reach. */
  unreachable: v.array(v.string()),
});

/** Status of an entry. Counts of calls and frames are since its start. */
export const statusReplySchema = v.object({
  entry: v.string(),
  zone: v.string(),
  /** Whether the entry accepts requests of callers. */
  ready: v.boolean(),
  /** Whether the entry is the controller. */
  controller: v.boolean(),
  tableVersion: v.number(),
  /** Number of hosts that the entry owns. */
  ownedHosts: v.number(),
  /** Number of requests that are running. */
  inFlight: v.number(),
  /** Number of jobs that the entry runs. */
  jobs: v.number(),
  /** Number of detected pauses of the process. */
  pauses: v.number(),
  /** Number of repeated attempts. */
  retries: v.number(),
  /** Calls to the platform. */
  platform: v.object({
    readCalls: v.number(),
    commitCalls: v.number(),
    transactions: v.number(),
  }),
  /** Traffic with other entries. */
  peers: v.object({
    framesOut: v.number(),
    bytesOut: v.number(),
    framesIn: v.number(),
    bytesIn: v.number(),
  }),
  /** Registered and connected entries. */
  entries: v.array(entryVersionSchema),
});

/** All hosts. */
export const hostsReplySchema = v.object({ hosts: v.array(hostSchema) });
/** A changed host. */
export const hostReplySchema = v.object({ host: hostSchema });
/** All waves. */
export const wavesReplySchema = v.object({ waves: v.array(waveSchema) });
/** A planned or changed wave. */
export const waveReplySchema = v.object({ wave: waveSchema });
/** All jobs. */
export const jobsReplySchema = v.object({ jobs: v.array(jobSchema) });
/** A job. */
export const jobReplySchema = v.object({ job: jobSchema });
/** Audit records, oldest first. */
export const auditReplySchema = v.object({
  records: v.array(auditRecordSchema),
});

/** The pool that a host moves to. */
export const moveRequestSchema = v.object({ pool: v.string() });
/** How a job with unknown outcome is settled. */
export const settleRequestSchema = v.object({
  as: v.picklist(["done", "not-run"]),
});
/** Request to plan a wave. */
export const wavePlanSchema = v.object({
  id: v.pipe(v.string(), v.regex(/^[a-z0-9-]{1,48}$/)),
  /** Names of hosts of the wave. */
  hosts: v.optional(v.array(v.string()), []),
  /** Names of pools all of whose hosts belong to the wave. */
  pools: v.optional(v.array(v.string()), []),
  /** Number of hosts under maintenance at the same time. */
  parallel: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(1000)),
});

/** A failure; `issues` and `conflicts` as in `Failure`. */
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

/** Entries by whether a table version is in force on them. */
export type ConfirmationReply = v.InferOutput<typeof confirmationReplySchema>;
/** Status of an entry. */
export type StatusReply = v.InferOutput<typeof statusReplySchema>;
/** The part of a status reply that `OperatorApi` does not add itself. */
export type EntryStatus = Omit<
  StatusReply,
  "entry" | "zone" | "tableVersion" | "entries"
>;
