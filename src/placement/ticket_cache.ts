/**
 * Cache of tickets for the steps of queues that require advice. The advice
 * service decides which endpoints may run a step, and issues a ticket with an
 * expiry time for each of them.
 *
 * Whether an endpoint may run a step never changes; only tickets expire. So
 * the service is asked once about an endpoint that is not allowed, and again
 * about an allowed one when its ticket has expired and the step still waits.
 */
import type { Clock } from "../clock/index.ts";
import type { Advisor } from "../endpoint/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";

/**
 * Maximum number of endpoints per request. The service takes time for each
 * endpoint, and a job's objective leaves time for one request of this size.
 */
const maxEndpointsPerRequest = 30;

/** Time before its expiry from which a ticket is no longer used, in ms. */
const expiryMarginMs = 150;

/** Pause after a failed request, in ms. */
const retryPauseMs = 300;

/** The answer of the service for one step and one endpoint. */
interface EndpointAdvice {
  /** Undefined when the endpoint may not run the step. */
  readonly ticket: string | undefined;
  /** Monotonic time in ms until which the ticket is used. */
  readonly until: number;
}

/** Dependencies of a {@link TicketCache}. */
export interface TicketCacheDependencies {
  readonly shard: string;
  readonly advisor: Advisor;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Called after an answer of the service has been stored. */
  readonly onChange: () => void;
}

/** Tickets of the steps of one shard. */
export class TicketCache {
  /** Answers by step and endpoint. */
  readonly #adviceByStep = new Map<string, Map<string, EndpointAdvice>>();
  /** Monotonic time in ms of the last request for each step. */
  readonly #requestedAt = new Map<string, number>();
  #isRequesting = false;
  /** Monotonic time in ms until which no request is sent, after a failure. */
  #noRequestUntil = 0;

  constructor(private readonly deps: TicketCacheDependencies) {}

  /**
   * The valid ticket for a start of the step at an endpoint, if there is one.
   */
  ticket(step: string, endpoint: string): string | undefined {
    const advice = this.#adviceByStep.get(step)?.get(endpoint);
    if (advice === undefined) return undefined;
    const isValid = this.deps.clock.now() < advice.until;
    return isValid ? advice.ticket : undefined;
  }

  /** Whether all of the endpoints are known not to be allowed to run a step. */
  allowsNone(step: string, endpoints: readonly string[]): boolean {
    const answers = this.#adviceByStep.get(step);
    return endpoints.every((id) => {
      const advice = answers?.get(id);
      return advice !== undefined && advice.ticket === undefined;
    });
  }

  /** Discards the answer for an endpoint that has rejected its ticket. */
  discard(step: string, endpoint: string): void {
    this.#adviceByStep.get(step)?.delete(endpoint);
  }

  /** Discards the answers for all steps that are not in `steps`. */
  retainSteps(steps: ReadonlySet<string>): void {
    for (const step of this.#adviceByStep.keys()) {
      if (!steps.has(step)) this.#adviceByStep.delete(step);
    }
    for (const step of this.#requestedAt.keys()) {
      if (!steps.has(step)) this.#requestedAt.delete(step);
    }
  }

  /**
   * Orders steps by their last request, those without one first. So a step that
   * waits for long, whose tickets expire, keeps no other from its requests.
   */
  byLastRequest(steps: Iterable<string>): readonly string[] {
    const requestedAt = (step: string) => this.#requestedAt.get(step) ?? 0;
    const isNew = (step: string) => !this.#requestedAt.has(step);
    return [...steps].sort((a, b) =>
      Number(isNew(b)) - Number(isNew(a)) || requestedAt(a) - requestedAt(b)
    );
  }

  /**
   * Requests tickets for a step whose tasks wait for placement. Does nothing
   * while a request is in flight or a pause lasts: the service takes one
   * request at a time from each entry.
   */
  async requestTickets(
    step: string,
    endpoints: readonly string[],
  ): Promise<void> {
    const { clock, advisor, log, shard } = this.deps;
    if (this.#isRequesting || clock.now() < this.#noRequestUntil) return;
    const asked = this.#endpointsToAsk(step, endpoints);
    if (asked.length === 0) return;
    this.#isRequesting = true;
    const sentAt = clock.now();
    this.#requestedAt.set(step, sentAt);
    const answer = await advisor.advise(step, asked);
    this.#isRequesting = false;
    if (answer.err) {
      this.#noRequestUntil = clock.now() + retryPauseMs;
      log.decision("advice-failed", { shard, step, message: answer.val });
      return;
    }
    const { tickets, validMs } = answer.val;
    const answers = this.#adviceByStep.get(step) ??
      new Map<string, EndpointAdvice>();
    this.#adviceByStep.set(step, answers);
    const until = sentAt + validMs - expiryMarginMs;
    for (const id of asked) answers.set(id, { ticket: tickets.get(id), until });
    log.decision("advice-taken", {
      shard,
      step,
      asked: asked.length,
      allowed: tickets.size,
      ageMs: Math.round(clock.now() - sentAt),
    });
    this.deps.onChange();
  }

  /**
   * Endpoints to ask about in the next request: those with an expired ticket,
   * then those not asked about yet.
   */
  #endpointsToAsk(
    step: string,
    endpoints: readonly string[],
  ): readonly string[] {
    const answers = this.#adviceByStep.get(step);
    const now = this.deps.clock.now();
    const expired = endpoints.filter((id) => {
      const advice = answers?.get(id);
      return advice?.ticket !== undefined && now >= advice.until;
    });
    const unasked = endpoints.filter((id) => !answers?.has(id));
    return [...expired, ...unasked].slice(0, maxEndpointsPerRequest);
  }
}
