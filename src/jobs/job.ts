/**
 * The row of a recorded job and its state transitions.
 *
 * An at-most-once job goes `claimed → started → done | unknown`. Its
 * request is sent only after `started` is committed, and only by the attempt
 * that committed it. A repeatable job goes from `claimed` to `done` directly.
 * Each transition raises the row's version, so the commit of a claimer that
 * was replaced fails.
 */
import { createHash } from "node:crypto";
import * as v from "valibot";

/** Key prefix of the rows of jobs that have not ended. */
export const openJobKeyPrefix = "job/open/";
/** Key prefix of the rows of jobs that have ended. */
export const endedJobKeyPrefix = "job/ended/";

/** Schema of `StoredBody`. */
export const storedBodySchema = v.variant("kind", [
  v.object({ kind: v.literal("inline"), base64: v.string() }),
  v.object({ kind: v.literal("object"), name: v.string() }),
]);

/** A body in the row itself, or the name of the object that contains it. */
export type StoredBody = v.InferOutput<typeof storedBodySchema>;

/** Schema of `JobResult`. */
export const jobResultSchema = v.object({
  status: v.number(),
  contentType: v.string(),
  body: storedBodySchema,
});

/** States of a job. */
export const jobStates = [
  /** An entry has claimed the job; a repeatable one may be running. */
  "claimed",
  /** The request of an at-most-once job may have been sent. */
  "started",
  "done",
  "cancelled",
  /**
   * It failed too often, or its class no longer exists; an operator resumes or
   * cancels it.
   */
  "parked",
  /** It is not known whether the job ran; an operator settles it. */
  "unknown",
] as const;

/** Schema of a job's row. */
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
  /** Entry and incarnation that run the job. */
  claimer: v.object({ entry: v.string(), incarnation: v.string() }),
  /** Id of the attempt that committed `started`, and its host. */
  attempt: v.optional(v.string()),
  host: v.optional(v.string()),
  /** Failed runs of a repeatable job since it was last resumed. */
  failures: v.number(),
  /** Wall-clock time of the submission in ms. */
  createdAt: v.number(),
  result: v.optional(jobResultSchema),
  /** Why the job is in its state, for operators. */
  note: v.optional(v.string()),
});

/** A job as it is stored. */
export type Job = v.InferOutput<typeof jobSchema>;
/** State of a job. */
export type JobState = Job["state"];
/** The endpoint's answer to a job's request. */
export type JobResult = v.InferOutput<typeof jobResultSchema>;
/** The entry and incarnation that run a job. */
export type Claimer = Job["claimer"];

/** Number of failed runs after which a repeatable job is parked. */
export const maxFailures = 5;

/** Whether a job is in a final state. */
export function isEnded(job: Job): boolean {
  return job.state === "done" || job.state === "cancelled";
}

/** The key of a job's row until it ends. */
export function openJobKey(id: string): string {
  return openJobKeyPrefix + id;
}

/** The key of a job's row after its end. */
export function endedJobKey(id: string): string {
  return endedJobKeyPrefix + id;
}

/** The job id for a caller's key: equal keys of a class give equal ids. */
export function keyedJobId(className: string, key: string): string {
  const hash = createHash("sha256").update(`${className}\n${key}`);
  return `k${hash.digest("hex").slice(0, 32)}`;
}

/** Digest of a request; equal requests have equal digests. */
export function digestRequest(
  method: string,
  path: string,
  body: Uint8Array,
): string {
  const hash = createHash("sha256").update(`${method}\n${path}\n`).update(body);
  return hash.digest("base64url");
}

/** Marks a job as started by an attempt that is about to be sent. */
export function startJob(job: Job, attempt: string, host: string): Job {
  return { ...job, state: "started", attempt, host };
}

/** Reverts a start whose request is known not to have run. */
export function revertJobStart(job: Job): Job {
  return { ...job, state: "claimed", attempt: undefined, host: undefined };
}

/** Assigns a job to a claimer. */
export function claimJob(job: Job, claimer: Claimer): Job {
  return { ...job, state: "claimed", claimer };
}

/** Counts a failed run of a repeatable job and parks it at `maxFailures`. */
export function failJob(job: Job, note: string): Job {
  const failures = job.failures + 1;
  const state = failures >= maxFailures ? "parked" : "claimed";
  return { ...job, failures, state, note };
}

/** Ends a job with its result. */
export function finishJob(job: Job, result: JobResult): Job {
  return { ...job, state: "done", result };
}
