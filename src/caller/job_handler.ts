/** Handles requests for jobs: `GET` and `DELETE` of `/jobs/ID`. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { codes, type ResultCode } from "../errors/index.ts";
import type { StoredJob } from "../jobs/index.ts";
import { type Answer, outcomeCode } from "../pipeline/index.ts";
import type { RequestServerDependencies } from "./dependencies.ts";
import { replyAnswer, replyResult } from "./reply.ts";

/** Path of a job, with the job id and the query as groups. */
const jobPath = /^\/jobs\/([A-Za-z0-9-]{1,80})(?:\?(.*))?$/;
/** Maximum of the query parameter `wait` of `GET /jobs/ID`, in seconds. */
const maxPollWaitSeconds = 60;

/** Result codes for jobs that are not done, by state. */
const codesByJobState = {
  claimed: codes.stillRunning,
  started: codes.stillRunning,
  cancelled: codes.jobCancelled,
  parked: codes.parked,
  unknown: codes.unsettled,
} as const;

/** Dependencies of `JobHandler`. */
export type JobHandlerDependencies = Pick<
  RequestServerDependencies,
  "jobs" | "jobStore" | "ids" | "clock"
>;

/** Replies to callers that ask for their jobs. */
export class JobHandler {
  constructor(private readonly deps: JobHandlerDependencies) {}

  /** Handles a request whose path begins with `/jobs/`. */
  async handle(
    req: IncomingMessage,
    res: ServerResponse,
    url: string,
  ): Promise<void> {
    const requestId = this.deps.ids.next();
    const match = jobPath.exec(url);
    if (match === null) {
      const code = codes.badRequest;
      const message = "the path contains no valid job id";
      return replyResult(res, { code, message }, requestId);
    }
    const [, id, query] = match;
    if (req.method === "DELETE") return await this.#cancel(res, id, requestId);
    if (req.method !== "GET") {
      const code = codes.methodNotAllowed;
      return replyResult(res, { code, message: code.meaning }, requestId);
    }
    await this.#wait(res, id, pollWaitMs(query), requestId);
  }

  async #cancel(
    res: ServerResponse,
    id: string,
    requestId: string,
  ): Promise<void> {
    const cancelled = await this.deps.jobs.cancel(id, {
      who: "caller",
      at: this.deps.clock.wall(),
      operation: requestId,
    });
    if (cancelled.err) return replyResult(res, cancelled.val, requestId);
    await this.reply(res, cancelled.val, requestId);
  }

  /** Replies once the job has ended, or after `waitMs`. */
  async #wait(
    res: ServerResponse,
    id: string,
    waitMs: number,
    requestId: string,
  ): Promise<void> {
    const abort = new AbortController();
    res.once("close", () => abort.abort());
    const job = await this.deps.jobs.wait(id, waitMs, abort.signal);
    if (job.err) return replyResult(res, job.val, requestId);
    await this.reply(res, job.val, requestId);
  }

  /** Replies with a job's result or state; returns the result code. */
  async reply(
    res: ServerResponse,
    job: StoredJob,
    requestId: string,
  ): Promise<ResultCode> {
    const { id, state, result, note } = job.value;
    if (state !== "done" || result === undefined) {
      const code = state === "done" ? codes.ok : codesByJobState[state];
      const message = note ?? code.meaning;
      replyResult(res, { code, message }, requestId, { id, state });
      return code;
    }
    const body = await this.deps.jobStore.loadBody(result.body);
    if (body.err) {
      replyResult(res, body.val, requestId, { id, state });
      return body.val.code;
    }
    const headers = { "content-type": result.contentType };
    const answer: Answer = {
      kind: "answer",
      status: result.status,
      headers,
      body: body.val,
    };
    const code = outcomeCode(answer);
    replyAnswer(res, answer, code, requestId);
    return code;
  }
}

/** Time in ms to wait for a job's end; `query` may give it in seconds. */
function pollWaitMs(query: string | undefined): number {
  const requestedSeconds = Number(
    new URLSearchParams(query ?? "").get("wait") ?? 0,
  );
  const seconds = Math.min(
    maxPollWaitSeconds,
    Math.max(0, requestedSeconds || 0),
  );
  return seconds * 1000;
}
