/**
 * Execution of an admitted request: place, dispatch, and repeat on another
 * host while that is safe.
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

const maxAttempts = 3;
const serverError = 500;
/** Pause before patient work is offered to a host again, in ms. */
const patientRetryPauseMs = 200;
/** Failed hosts that the next attempt avoids. */
const maxAvoidedHosts = 3;

/** Outcome of a request with the attempts made. */
export interface Execution {
  readonly outcome: Outcome;
  readonly attempts: number;
  readonly host?: string;
}

/** Counters of retries, for metrics and measurements. */
export interface RetryCounts {
  retries: number;
  /** Retries that the budget did not allow. */
  suppressed: number;
}

/** Runs requests on slots from a router. */
export class Executor {
  #budget = RetryBudget.full;
  readonly counts: RetryCounts = { retries: 0, suppressed: 0 };

  constructor(
    private readonly router: Pick<Router, "acquire">,
    private readonly ids: IdSource,
    private readonly clock: Clock,
  ) {}

  /** Runs a request to its one end. */
  async execute(req: CallerRequest): Promise<Execution> {
    const avoid: string[] = [];
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

/** The result code of an outcome. */
export function outcomeCode(outcome: Outcome) {
  if (outcome.kind === "failed") return outcome.failure.code;
  return outcome.status >= serverError ? codes.endpointFailed : codes.ok;
}
