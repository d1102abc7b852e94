/** The steps of a shard that need a ticket, and the hosts that they need. */
import { startableTasks, stepName, type TaskRef } from "../batch/index.ts";
import type { EndpointSession, Run } from "./endpoint_session.ts";
import type { BookedJob } from "./job_book.ts";
import { TicketBook, type TicketParts } from "./ticket_book.ts";

/** Looks after the jobs of queues that ask for advice. */
export class AdvisedSteps {
  readonly #tickets: TicketBook;
  #hostsWanted = 0;

  constructor(parts: TicketParts) {
    this.#tickets = new TicketBook(parts);
  }

  /** Hosts wanted because no present one may run some step; 0 for none. */
  get hostsWanted(): number {
    return this.#hostsWanted;
  }

  /**
   * The ticket for a task's start at an endpoint: empty when its queue asks
   * for none, undefined when there is none at hand.
   */
  ticketFor(
    { spec }: BookedJob,
    ref: TaskRef,
    endpoint: string,
  ): string | undefined {
    if (!spec.advised) return "";
    return this.#tickets.ticket(stepName(spec.id, ref), endpoint);
  }

  /** Notes that an endpoint did not take the ticket of a run. */
  rejected({ job, ref }: Run, { endpoint }: EndpointSession): void {
    this.#tickets.rejected(stepName(job, ref), endpoint.id);
  }

  /** Asks for advice on the steps whose tasks wait for a place. */
  review(
    jobs: readonly BookedJob[],
    sessions: readonly EndpointSession[],
    isClosed: (endpoint: string) => boolean,
  ): void {
    this.#hostsWanted = 0;
    const steps = stepsAwaitingStart(jobs);
    this.#tickets.keepOnly(steps);
    if (steps.size === 0) return;
    const open = sessions.filter((s) => s.isOpen).map((s) => s.endpoint.id);
    const usable = open.filter((id) => !isClosed(id));
    for (const step of steps) {
      this.#tickets.ask(step, open);
      if (this.#tickets.allowsNone(step, usable)) {
        this.#hostsWanted = usable.length + 1;
      }
    }
  }
}

function stepsAwaitingStart(jobs: readonly BookedJob[]): ReadonlySet<string> {
  const steps = new Set<string>();
  for (const { progress, spec } of jobs) {
    if (!spec.advised) continue;
    for (const ref of startableTasks(progress, spec)) {
      steps.add(stepName(spec.id, ref));
    }
  }
  return steps;
}
