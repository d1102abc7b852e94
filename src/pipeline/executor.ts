/**
 * Execution of an admitted request: acquires a slot, sends the request, and
 * retries on another host while that is safe.
 */
import { codes, type Failure } from "../errors/index.ts";
import { type Clock, delay, type IdSource } from "../clock/index.ts";
import {
  type CallerRequest,
  type EndpointRequest,
  headerNames,
  type Outcome,
} from "./request.ts";
import { RetryBudget } from "./retry_budget.ts";
import type { Router } from "./router.ts";

/** Attempts per request; patient work that has not run may exceed it. */
const maxAttempts = 3;
/** Lowest HTTP status that counts as a failure of the endpoint. */
const serverError = 500;
/** Pause before each retry of patient work beyond `maxAttempts`, in ms. */
const patientRetryPauseMs = 200;
/** Number of the last failed hosts that the next attempt avoids. */
const maxAvoidedHosts = 3;

/** The outcome of a request. */
export interface Execution {
  readonly outcome: Outcome;
  /** Number of attempts that were made. */
  readonly attempts: number;
  /** Host of the attempt with this outcome; undefined without a slot. */
  readonly host?: string;
}

/** Counters of retries, for the metrics. */
export interface RetryCounts {
  retries: number;
  /** Safe retries that the retry budget did not allow. */
  suppressed: number;
}

/** Runs requests on slots that a router acquires. */
export class Executor {
  #budget = RetryBudget.full;
  /** Retries since the start. */
  readonly counts: RetryCounts = { retries: 0, suppressed: 0 };

  constructor(
    private readonly router: Pick<Router, "acquire">,
    private readonly ids: IdSource,
    private readonly clock: Clock,
  ) {}

  /**
   * Runs a request and returns its final outcome; failures are outcomes too.
   * An outcome "not run" is returned only if no attempt may have run.
   */
  async execute(req: CallerRequest): Promise<Execution> {
    const avoid: string[] = [];
    // The last failed attempt that may have run. A later attempt that has not
    // run does not disprove that, so this one is reported.
    let uncertain: Execution | undefined;
    for (let attempts = 1;; attempts++) {
      const slot = await this.router.acquire({
        class: req.class,
        startBy: req.startBy,
        avoid,
        signal: req.signal,
      });
      if (slot.err) return uncertain ?? notPlaced(slot.val, attempts);
      const { host } = slot.val;
      const outcome = await slot.val.send(
        toEndpointRequest(req, this.ids.next()),
        req.signal,
      );
      if (isSuccess(outcome)) this.#budget = this.#budget.earn();
      const execution = { outcome, attempts, host };
      if (!this.#mayRetry(req, outcome, attempts)) {
        return uncertain !== undefined && isNotRun(outcome)
          ? uncertain
          : execution;
      }
      if (!isNotRun(outcome)) uncertain = execution;
      avoid.push(host);
      if (avoid.length > maxAvoidedHosts) avoid.shift();
      if (attempts >= maxAttempts) await delay(this.clock, patientRetryPauseMs);
    }
  }

  /** Whether a retry is safe and allowed; takes it from the retry budget. */
  #mayRetry(req: CallerRequest, outcome: Outcome, attempts: number): boolean {
    if (outcome.kind === "answer") return false;
    if (req.signal.aborted) return false;
    if (isNotRun(outcome) && req.class.urgency === "patient") return true;
    if (attempts >= maxAttempts) return false;
    const safeToRetry = req.class.repeat === "repeatable" || isNotRun(outcome);
    if (!safeToRetry) return false;
    if (!this.#budget.allows) {
      this.counts.suppressed++;
      return false;
    }
    this.#budget = this.#budget.spend();
    this.counts.retries++;
    return true;
  }
}

function isSuccess(outcome: Outcome): boolean {
  return outcome.kind === "answer" && outcome.status < serverError;
}

/** Whether it is proven that the endpoint did not run the request. */
function isNotRun(outcome: Outcome): boolean {
  return outcome.kind === "failed" && outcome.failure.code.run === "not-run";
}

function notPlaced(failure: Failure, attempts: number): Execution {
  return { outcome: { kind: "failed", failure }, attempts };
}

/** Builds the request that an endpoint receives for one attempt. */
export function toEndpointRequest(
  req: Omit<CallerRequest, "signal" | "startBy">,
  attempt: string,
): EndpointRequest {
  const headers: Record<string, string> = {
    ...req.headers,
    [headerNames.requestId]: attempt,
    [headerNames.class]: req.class.name,
    [headerNames.pool]: req.class.pool,
    [headerNames.price]: String(req.class.price),
    [headerNames.tableVersion]: String(req.tableVersion),
  };
  if (req.key !== undefined) headers[headerNames.key] = req.key;
  return {
    attempt,
    method: req.method,
    path: req.path,
    headers,
    body: req.body,
    runMs: req.class.runMs,
  };
}

/** Returns the result code of an outcome. */
export function outcomeCode(outcome: Outcome) {
  if (outcome.kind === "failed") return outcome.failure.code;
  return outcome.status >= serverError ? codes.endpointFailed : codes.ok;
}
