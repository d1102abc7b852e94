/** One request of a caller and its response. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Failure, ResultCode } from "../errors/index.ts";
import type { RequestServerDependencies } from "./dependencies.ts";
import { replyResult } from "./reply.ts";

/** Summary of an ended request, for logs and metrics. */
export interface EndedRequest {
  readonly requestId: string;
  /** Name of the class; empty if the request ended before classification. */
  readonly class: string;
  readonly code: ResultCode;
  /** Time in ms from receipt to end. */
  readonly ms: number;
  /** Number of attempts to run the request. */
  readonly attempts: number;
  /** Host of the last attempt. */
  readonly host?: string;
}

/** A request and its response, from receipt to the single reported end. */
export class Exchange {
  /** Id of the request. */
  readonly id: string;
  /** Monotonic time of receipt in ms. */
  readonly startedAt: number;
  /** Name of the class; empty until the request is classified. */
  className = "";

  constructor(
    private readonly deps: Pick<
      RequestServerDependencies,
      "ids" | "clock" | "onRequestEnded"
    >,
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
  ) {
    this.id = deps.ids.next();
    this.startedAt = deps.clock.now();
  }

  /** Replies with a code and its description, and ends. */
  refuse(code: ResultCode): void {
    this.fail({ code, message: code.meaning });
  }

  /** Replies with a failure and ends. */
  fail(failure: Failure): void {
    // A connection kept open would require reading the rest of the request.
    const requestIncomplete = !this.req.complete && !this.res.headersSent;
    if (requestIncomplete) this.res.setHeader("connection", "close");
    replyResult(this.res, failure, this.id);
    this.reportEnd(failure.code, 0);
  }

  /** Reports the end of the request for logs and metrics. */
  reportEnd(code: ResultCode, attempts: number, host?: string): void {
    this.deps.onRequestEnded({
      requestId: this.id,
      class: this.className,
      code,
      ms: this.deps.clock.now() - this.startedAt,
      attempts,
      host,
    });
  }
}
