/**
 * Index of runs by job, so that the end of a task or job does not need a scan
 * of all endpoints.
 */
import type { EndpointSession, Run } from "../sessions/index.ts";

/** A run and the session of its endpoint. */
export interface LocatedRun {
  readonly session: EndpointSession;
  readonly run: Run;
}

/** Index of the runs of one shard by job id. */
export class RunIndex {
  readonly #byJob = new Map<string, Map<Run, EndpointSession>>();

  /** Adds a run that may be in progress at the session's endpoint. */
  add(session: EndpointSession, run: Run): void {
    const runs = this.#byJob.get(run.job) ?? new Map();
    this.#byJob.set(run.job, runs.set(run, session));
  }

  /** Removes a run that has ended. */
  remove(run: Run): void {
    const runs = this.#byJob.get(run.job);
    if (runs === undefined) return;
    runs.delete(run);
    if (runs.size === 0) this.#byJob.delete(run.job);
  }

  /** A snapshot of the runs of a job. */
  ofJob(job: string): readonly LocatedRun[] {
    return [...this.#byJob.get(job) ?? []]
      .map(([run, session]) => ({ session, run }));
  }
}
