/**
 * Where the runs of each job are, so that the end of a task or of a job does
 * not lead to a look at every endpoint.
 */
import type { EndpointSession, Run } from "./endpoint_session.ts";

/** A run and the endpoint's session that it belongs to. */
export interface LocatedRun {
  readonly session: EndpointSession;
  readonly run: Run;
}

/** Runs by their job. */
export class RunIndex {
  readonly #byJob = new Map<string, Map<Run, EndpointSession>>();

  /** Notes a run that may be under way. */
  add(session: EndpointSession, run: Run): void {
    const runs = this.#byJob.get(run.job) ?? new Map();
    this.#byJob.set(run.job, runs.set(run, session));
  }

  /** Forgets a run that is over. */
  remove(run: Run): void {
    const runs = this.#byJob.get(run.job);
    if (runs === undefined) return;
    runs.delete(run);
    if (runs.size === 0) this.#byJob.delete(run.job);
  }

  /** The runs of a job; later changes don't show in the list. */
  ofJob(job: string): readonly LocatedRun[] {
    return [...this.#byJob.get(job) ?? []]
      .map(([run, session]) => ({ session, run }));
  }
}
