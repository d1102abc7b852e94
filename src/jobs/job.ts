/**
 * A recorded job and its transitions.
 *
 * `claimed → started → done | unknown` for at-most-once runs: the request is
 * sent only after `started` is committed, by the one attempt that committed
 * it. Repeatable jobs go from `claimed` to `done` directly. Each transition
 * raises the job's version in the table, so a claimer that was replaced fails
 * to commit.
 */
import { createHash } from "node:crypto";
import * as v from "valibot";

/** Prefix of jobs that have not ended. */
export const openPrefix = "job/open/";
/** Prefix of jobs that have ended. */
export const endedPrefix = "job/ended/";

export const storedBodySchema = v.variant("kind", [
  v.object({ kind: v.literal("inline"), base64: v.string() }),
  v.object({ kind: v.literal("object"), name: v.string() }),
]);

/** A body in the row itself, or the name of an object that holds it. */
export type StoredBody = v.InferOutput<typeof storedBodySchema>;

export const jobResultSchema = v.object({
  status: v.number(),
  contentType: v.string(),
  body: storedBodySchema,
});

export const jobStates = [
  /** An entry has taken the job; a repeatable one may be running. */
  "claimed",
  /** An at-most-once run may have been sent. */
  "started",
  "done",
  "cancelled",
  /** Failed too often; an operator resumes or cancels it. */
  "parked",
  /** Whether the run happened is not known; an operator settles it. */
  "unknown",
] as const;

export const jobSchema = v.object({
  id: v.string(),
  class: v.string(),
  once: v.boolean(),
  key: v.optional(v.string()),
  /** Digest of method, path, and body, to detect a reused key. */
  digest: v.string(),
  method: v.string(),
  path: v.string(),
  headers: v.record(v.string(), v.string()),
  body: storedBodySchema,
  state: v.picklist(jobStates),
  /** Entry and incarnation that hold the claim. */
  claimer: v.object({ entry: v.string(), incarnation: v.string() }),
  /** Attempt that committed `started`, and its host. */
  attempt: v.optional(v.string()),
  host: v.optional(v.string()),
  failures: v.number(),
  /** Wall-clock time of the submission in ms. */
  createdAt: v.number(),
  result: v.optional(jobResultSchema),
  note: v.optional(v.string()),
});

export type Job = v.InferOutput<typeof jobSchema>;
export type JobState = Job["state"];
export type JobResult = v.InferOutput<typeof jobResultSchema>;
/** Holder of a claim. */
export type Claimer = Job["claimer"];

/** Failed runs after which a job is parked. */
export const maxFailures = 5;

/** Whether a job has reached its end. */
export function isEnded(job: Job): boolean {
  return job.state === "done" || job.state === "cancelled";
}

/** The key of a job's row while it is open. */
export function openKey(id: string): string {
  return openPrefix + id;
}

/** The key of a job's row after its end. */
export function endedKey(id: string): string {
  return endedPrefix + id;
}

/** The id of an at-most-once job: equal keys of a class give equal ids. */
export function keyedJobId(className: string, key: string): string {
  const hash = createHash("sha256").update(`${className}\n${key}`);
  return `k${hash.digest("hex").slice(0, 32)}`;
}

/** Digest that tells whether two requests are the same. */
export function digestRequest(
  method: string,
  path: string,
  body: Uint8Array,
): string {
  const hash = createHash("sha256").update(`${method}\n${path}\n`).update(body);
  return hash.digest("base64url");
}

/** Records that an attempt is about to be sent. */
export function startJob(job: Job, attempt: string, host: string): Job {
  return { ...job, state: "started", attempt, host };
}

/** Takes back a start that was proved not to have been sent. */
export function revertJobStart(job: Job): Job {
  return { ...job, state: "claimed", attempt: undefined, host: undefined };
}

/** Moves the claim to another entry. */
export function claimJob(job: Job, claimer: Claimer): Job {
  return { ...job, state: "claimed", claimer };
}

/** Counts a failed run of a repeatable job; parks it after the limit. */
export function failJob(job: Job, note: string): Job {
  const failures = job.failures + 1;
  const state = failures >= maxFailures ? "parked" : "claimed";
  return { ...job, failures, state, note };
}

/** Ends a job with its answer. */
export function finishJob(job: Job, result: JobResult): Job {
  return { ...job, state: "done", result };
}
