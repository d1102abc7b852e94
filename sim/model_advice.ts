/** A model of the service that advises on endpoints. */
import { Ok } from "ts-results";
import type { Advisor } from "../src/endpoint/index.ts";
import { fnv1a32 } from "./random.ts";
import type { ProcessClock, VirtualClock } from "./virtual_clock.ts";

/** Time that an answer takes, and for which its tickets hold, in ms. */
const answerDelayMs = 120;
const ticketValidityMs = 1_500;

/** Allows about half of the endpoints for each step, for a short time. */
export class ModelAdvisor {
  /** Questions so far. */
  calls = 0;
  /** Virtual time until which each ticket holds, in ms. */
  readonly #ticketExpiry = new Map<string, number>();

  constructor(private readonly clock: VirtualClock) {}

  /** The service as one process reaches it. */
  connect(process: ProcessClock): Advisor {
    return {
      advise: async (step, endpoints) => {
        this.calls++;
        await new Promise<void>((resolve) => {
          this.clock.after(answerDelayMs, resolve);
        });
        const tickets = this.#issueTickets(step, endpoints);
        const advice = { tickets, validMs: ticketValidityMs };
        return await process.deliver(Promise.resolve(Ok(advice)));
      },
    };
  }

  /** Whether an endpoint takes a ticket for a task now. */
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
