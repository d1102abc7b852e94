/** A model of the service that advises on endpoints. */
import { Ok } from "ts-results";
import type { Advisor } from "../src/endpoint/index.ts";
import { hashText } from "./random.ts";
import type { ProcessClock, VirtualClock } from "./virtual_clock.ts";

/** Time that an answer takes, and for which its tickets hold, in ms. */
const decisionMs = 120;
const ticketMs = 1_500;

/** Allows about half of the endpoints for each step, for a short time. */
export class ModelAdvice {
  /** Questions so far. */
  calls = 0;
  /** Virtual time until which each ticket holds, in ms. */
  readonly #tickets = new Map<string, number>();

  constructor(private readonly clock: VirtualClock) {}

  /** The service as one process reaches it. */
  connect(process: ProcessClock): Advisor {
    return {
      advise: async (step, endpoints) => {
        this.calls++;
        await new Promise<void>((resolve) => {
          this.clock.after(decisionMs, resolve);
        });
        const tickets = this.#grant(step, endpoints);
        const advice = { tickets, validMs: ticketMs };
        return await process.deliver(Promise.resolve(Ok(advice)));
      },
    };
  }

  /** Whether an endpoint takes a ticket for a task now. */
  takes(task: string, endpoint: string, ticket: string): boolean {
    const step = task.slice(0, task.lastIndexOf("."));
    const until = this.#tickets.get(ticket) ?? 0;
    return ticket.startsWith(`${step} ${endpoint} `) &&
      this.clock.now() < until;
  }

  #grant(
    step: string,
    endpoints: readonly string[],
  ): ReadonlyMap<string, string> {
    const tickets = new Map<string, string>();
    const until = this.clock.now() + ticketMs;
    for (const id of endpoints) {
      if (hashText(`${step} ${id}`) % 2 === 0) continue;
      const ticket = `${step} ${id} ${until}`;
      tickets.set(id, ticket);
      this.#tickets.set(ticket, until);
    }
    return tickets;
  }
}
