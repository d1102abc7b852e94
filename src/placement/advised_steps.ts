/**
 * Requests tickets for the steps of a shard's advised jobs, and computes how
 * many hosts these steps need. An advised job belongs to a queue with an advice
 * service, which decides which endpoints may run a step. Its tasks start only
 * with a ticket of that service.
 */
import { startableTasks, stepName, type StepRef } from "../batch/index.ts";
import type { EndpointSession, Run } from "../sessions/index.ts";
import type { TrackedJob } from "../shard_jobs/index.ts";
import { TicketCache, type TicketCacheDependencies } from "./ticket_cache.ts";

/** Manages the tickets of a shard's advised jobs. */
export class AdvisedSteps {
  readonly #tickets: TicketCache;
  #requiredHosts = 0;

  constructor(deps: TicketCacheDependencies) {
    this.#tickets = new TicketCache(deps);
  }

  /**
   * Number of hosts needed because none of the present endpoints may run a
   * step; 0 if there is no such step.
   */
  get requiredHosts(): number {
    return this.#requiredHosts;
  }

  /**
   * Returns the ticket for a task's start on an endpoint: empty if the job needs
   * none, undefined if it needs one and none is valid now.
   */
  ticketFor(
    { spec }: TrackedJob,
    ref: StepRef,
    endpoint: string,
  ): string | undefined {
    if (!spec.advised) return "";
    return this.#tickets.ticket(stepName(spec.id, ref), endpoint);
  }

  /** Records that an endpoint rejected the ticket of a run. */
  recordRejection({ job, ref }: Run, { endpoint }: EndpointSession): void {
    this.#tickets.discard(stepName(job, ref), endpoint.id);
  }

  /**
   * Requests tickets for the steps with waiting tasks, and updates the number
   * of hosts that they need.
   */
  refresh(
    jobs: readonly TrackedJob[],
    sessions: readonly EndpointSession[],
    isClosed: (endpoint: string) => boolean,
  ): void {
    this.#requiredHosts = 0;
    const steps = stepsAwaitingStart(jobs);
    this.#tickets.retainSteps(steps);
    if (steps.size === 0) return;
    const open = sessions.filter((s) => s.isOpen).map((s) => s.endpoint.id);
    const usable = open.filter((id) => !isClosed(id));
    for (const step of this.#tickets.byLastRequest(steps)) {
      this.#tickets.requestTickets(step, open);
      if (this.#tickets.allowsNone(step, usable)) {
        this.#requiredHosts = usable.length + 1;
      }
    }
  }
}

/** Returns the names of the advised steps with tasks that can start. */
function stepsAwaitingStart(jobs: readonly TrackedJob[]): ReadonlySet<string> {
  const steps = new Set<string>();
  for (const { progress, spec } of jobs) {
    if (!spec.advised) continue;
    for (const ref of startableTasks(progress, spec)) {
      steps.add(stepName(spec.id, ref));
    }
  }
  return steps;
}
