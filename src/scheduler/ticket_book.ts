/**
 * Tickets of the steps whose queue asks for advice: which endpoints may run a
 * step, and until when.
 *
 * The answer for a step and an endpoint never changes, only a ticket's time
 * runs out. So an endpoint that is not allowed is asked about once, and one
 * that is allowed again when its ticket has run out and the step still waits.
 */
import type { Clock } from "../clock/index.ts";
import type { Advisor } from "../endpoint/index.ts";
import type { DecisionLog } from "./decision_log.ts";

/**
 * Most endpoints of one question. The service takes a time for each, and the
 * objective of a job counts one question about as many.
 */
const maxEndpointsPerRequest = 30;

/** Time before its end from which a ticket is not used any more, in ms. */
const expiryMarginMs = 150;

/** Time after a question without an answer before the next one, in ms. */
const retryPauseMs = 300;

/** What is known of one endpoint for one step. */
interface EndpointAdvice {
  /** Undefined when the endpoint may not run the step. */
  readonly ticket: string | undefined;
  /** Steady time until which the ticket can be used. */
  readonly until: number;
}

/** What the book works with. */
export interface TicketParts {
  readonly shard: string;
  readonly advisor: Advisor;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Called when tickets have come in. */
  readonly changed: () => void;
}

/** Tickets of one shard's steps. */
export class TicketBook {
  readonly #adviceByStep = new Map<string, Map<string, EndpointAdvice>>();
  #isRequesting = false;
  #noRequestUntil = 0;

  constructor(private readonly parts: TicketParts) {}

  /** The ticket with which a step may start at an endpoint now, if any. */
  ticket(step: string, endpoint: string): string | undefined {
    const advice = this.#adviceByStep.get(step)?.get(endpoint);
    if (advice === undefined) return undefined;
    const isValid = this.parts.clock.now() < advice.until;
    return isValid ? advice.ticket : undefined;
  }

  /** Whether it is known that none of the endpoints may run a step. */
  allowsNone(step: string, endpoints: readonly string[]): boolean {
    const answers = this.#adviceByStep.get(step);
    return endpoints.every((id) => {
      const advice = answers?.get(id);
      return advice !== undefined && advice.ticket === undefined;
    });
  }

  /** Notes that an endpoint did not take a step's ticket. */
  rejected(step: string, endpoint: string): void {
    this.#adviceByStep.get(step)?.delete(endpoint);
  }

  /** Forgets the steps that no job waits for any more. */
  keepOnly(steps: ReadonlySet<string>): void {
    for (const step of this.#adviceByStep.keys()) {
      if (!steps.has(step)) this.#adviceByStep.delete(step);
    }
  }

  /**
   * Asks about a step whose tasks found no place, unless a question is on its
   * way: the service takes one at a time from each entry.
   */
  async ask(step: string, endpoints: readonly string[]): Promise<void> {
    const { clock, advisor, log, shard } = this.parts;
    if (this.#isRequesting || clock.now() < this.#noRequestUntil) return;
    const asked = this.#endpointsToAsk(step, endpoints);
    if (asked.length === 0) return;
    this.#isRequesting = true;
    const sentAt = clock.now();
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
    this.parts.changed();
  }

  /** Endpoints whose ticket has run out, then those not yet asked about. */
  #endpointsToAsk(
    step: string,
    endpoints: readonly string[],
  ): readonly string[] {
    const answers = this.#adviceByStep.get(step);
    const now = this.parts.clock.now();
    const expired = endpoints.filter((id) => {
      const advice = answers?.get(id);
      return advice?.ticket !== undefined && now >= advice.until;
    });
    const unasked = endpoints.filter((id) => !answers?.has(id));
    return [...expired, ...unasked].slice(0, maxEndpointsPerRequest);
  }
}
