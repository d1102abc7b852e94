/**
 * Model of the external advice service that decides which endpoints may run a
 * step.
 */
import { Ok } from "ts-results";
import type { Advisor } from "../src/endpoint/index.ts";
import { fnv1a32 } from "./random.ts";
import type { ProcessClock, VirtualClock } from "./virtual_clock.ts";

/** Time from a request to its answer, in ms. */
const answerDelayMs = 120;

/** Time for which the tickets of an answer are valid, in ms. */
const ticketValidityMs = 1_500;

/**
 * Issues short-lived tickets for about half of the endpoints of each step. A
 * hash of step and endpoint decides, so answers are repeatable.
 */
export class ModelAdvisor {
  /** Number of requests so far. */
  callCount = 0;
  /** Virtual time until which each ticket is valid, in ms, by ticket. */
  readonly #ticketExpiry = new Map<string, number>();

  constructor(private readonly clock: VirtualClock) {}

  /** Client of the service for one process. */
  connect(process: ProcessClock): Advisor {
    return {
      advise: async (step, endpoints) => {
        this.callCount++;
        await new Promise<void>((resolve) => {
          this.clock.after(answerDelayMs, resolve);
        });
        const tickets = this.#issueTickets(step, endpoints);
        const advice = { tickets, validMs: ticketValidityMs };
        return await process.deliver(Promise.resolve(Ok(advice)));
      },
    };
  }

  /**
   * Whether a ticket is still valid and was issued for the endpoint and the
   * task's step.
   */
  acceptsTicket(task: string, endpoint: string, ticket: string): boolean {
    const step = task.slice(0, task.lastIndexOf("."));
    const validUntil = this.#ticketExpiry.get(ticket) ?? 0;
    return ticket.startsWith(`${step} ${endpoint} `) &&
      this.clock.now() < validUntil;
  }

  #issueTickets(
    step: string,
    endpoints: readonly string[],
  ): ReadonlyMap<string, string> {
    const tickets = new Map<string, string>();
    const validUntil = this.clock.now() + ticketValidityMs;
    for (const id of endpoints) {
      if (fnv1a32(`${step} ${id}`) % 2 === 0) continue;
      const ticket = `${step} ${id} ${validUntil}`;
      tickets.set(id, ticket);
      this.#ticketExpiry.set(ticket, validUntil);
    }
    return tickets;
  }
}
