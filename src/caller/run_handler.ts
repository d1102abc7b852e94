/**
 * Handles requests to run: classify, admit, and either execute the request or
 * record it as a job.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { codes, describeError } from "../errors/index.ts";
import { type CallerRequest, outcomeCode } from "../pipeline/index.ts";
import { type ClassifiedRequest, classifyRequest } from "./classify.ts";
import type { RequestServerDependencies } from "./dependencies.ts";
import { Exchange } from "./exchange.ts";
import type { JobHandler } from "./job_handler.ts";
import { readBody } from "../connection_budget/index.ts";
import { replyAnswer, replyResult } from "./reply.ts";

/**
 * Maximum time in ms that a caller's connection is held open until the job that
 * it submitted has ended: one day.
 */
const maxHeldWaitMs = 86_400_000;

/** Runs the requests of callers; each ends with one numbered result. */
export class RunHandler {
  constructor(
    private readonly deps: RequestServerDependencies,
    private readonly jobHandler: JobHandler,
  ) {}

  /** Handles a request to run. */
  async handle(
    req: IncomingMessage,
    res: ServerResponse,
    url: string,
  ): Promise<void> {
    const { deps } = this;
    const exchange = new Exchange(deps, req, res);
    const notReady = deps.notReadyReason();
    if (notReady !== undefined) return exchange.refuse(notReady);
    const table = deps.table();
    const classified = classifyRequest(
      table,
      req.method ?? "",
      url,
      req.headers,
    );
    if (classified.err) return exchange.fail(classified.val);
    const { classRow } = classified.val;
    exchange.className = classRow.name;
    const rejection = deps.admission.admit(classRow, deps.liveEntryCount());
    if (rejection !== undefined) return exchange.refuse(rejection);
    try {
      await this.#runAdmitted(exchange, classified.val, table.version);
    } catch (err) {
      exchange.fail({ code: codes.internal, message: describeError(err) });
    } finally {
      deps.admission.finish(classRow);
    }
  }

  async #runAdmitted(
    exchange: Exchange,
    classified: ClassifiedRequest,
    tableVersion: number,
  ): Promise<void> {
    const { deps } = this;
    const { res, id } = exchange;
    const body = await readBody(exchange.req, deps.limits.maxBodyBytes);
    if (body.err) return exchange.fail(body.val);
    const request = toCallerRequest(
      exchange,
      classified,
      tableVersion,
      body.val,
    );
    const { classRow, respondAsync } = classified;
    if (classRow.repeat === "once" || respondAsync) {
      return await this.#runAsJob(exchange, request, respondAsync);
    }
    const { outcome, attempts, host } = await deps.executor.execute(request);
    const code = outcomeCode(outcome);
    if (outcome.kind === "failed") replyResult(res, outcome.failure, id);
    else replyAnswer(res, outcome, code, id);
    exchange.reportEnd(code, attempts, host);
  }

  /**
   * Records a request as a job. Replies with the job's id if the caller polls
   * for the result, else with the result once the job has ended.
   */
  async #runAsJob(
    exchange: Exchange,
    req: CallerRequest,
    respondAsync: boolean,
  ): Promise<void> {
    const { res } = exchange;
    const submitted = await this.deps.jobs.submit(req);
    if (submitted.err) return exchange.fail(submitted.val);
    const { id, state } = submitted.val.value;
    if (respondAsync) {
      const acceptance = { code: codes.accepted, message: "recorded" };
      replyResult(res, acceptance, req.id, {
        id,
        state,
        location: `/jobs/${id}`,
      });
      return exchange.reportEnd(codes.accepted, 0);
    }
    const job = await this.deps.jobs.wait(id, maxHeldWaitMs, req.signal);
    if (job.err) {
      const code = codes.unsettled;
      replyResult(res, { code, message: job.val.message }, req.id, { id });
      return exchange.reportEnd(code, 0);
    }
    exchange.reportEnd(await this.jobHandler.reply(res, job.val, req.id), 1);
  }
}

/** Builds the request of the pipeline; it is aborted when the caller leaves. */
function toCallerRequest(
  { id, req, res, startedAt }: Exchange,
  classified: ClassifiedRequest,
  tableVersion: number,
  body: Uint8Array,
): CallerRequest {
  const { classRow, path, headers, key, deadlineMs } = classified;
  return {
    id,
    class: classRow,
    tableVersion,
    method: req.method ?? "",
    path,
    headers,
    body,
    startBy: deadlineMs === undefined ? undefined : startedAt + deadlineMs,
    key,
    signal: abortedOnDisconnect(res),
  };
}

/** A signal that is aborted when the connection closes before the reply. */
function abortedOnDisconnect(res: ServerResponse): AbortSignal {
  const abort = new AbortController();
  res.once("close", () => {
    if (!res.writableFinished) abort.abort();
  });
  return abort.signal;
}
