/**
 * Recovery of jobs whose claimer is gone. It runs on the entry that holds the
 * controller's lease. Each step is a conditional write, so when the claimer was
 * only slow, its next write fails and it abandons the job.
 */
import type { JobService } from "./job_service.ts";
import type { JobRunner } from "./job_runner.ts";
import type { JobStore, StoredJob } from "./job_store.ts";
import { type Claimer, finishJob } from "./job.ts";
import type { IdSource } from "../clock/index.ts";

/** Largest number of orphaned jobs whose recovery one sweep starts. */
const maxRecoveriesPerSweep = 200;

/** Dependencies of `JobRecovery`. */
export interface JobRecoveryDependencies {
  readonly store: JobStore;
  readonly service: JobService;
  readonly runner: JobRunner;
  readonly ids: IdSource;
  /** Whether a claimer has been disconnected so long that it counts as gone. */
  isClaimerGone(claimer: Claimer): boolean;
}

/** Finds and takes over orphaned jobs. */
export class JobRecovery {
  /** Ids of the jobs whose recovery is in progress. */
  #recovering = new Set<string>();

  constructor(private readonly deps: JobRecoveryDependencies) {}

  /**
   * Starts the recovery of the orphaned jobs among the open ones. Returns the
   * number of orphans.
   */
  async sweep(): Promise<number> {
    const openJobs = await this.deps.store.listOpen();
    if (openJobs.err) return 0;
    const orphans = openJobs.val.filter((job) => this.#isOrphan(job));
    for (const job of orphans.slice(0, maxRecoveriesPerSweep)) {
      this.#recover(job);
    }
    return orphans.length;
  }

  #isOrphan(job: StoredJob): boolean {
    const { id, state, claimer } = job.value;
    if (state !== "claimed" && state !== "started") return false;
    if (this.deps.service.isRunning(id)) return false;
    return this.deps.isClaimerGone(claimer);
  }

  async #recover(job: StoredJob): Promise<void> {
    const { id, state } = job.value;
    if (this.#recovering.has(id)) return;
    this.#recovering.add(id);
    try {
      if (state === "claimed") await this.deps.service.takeOver(job);
      else await this.#resolveStarted(job);
    } finally {
      this.#recovering.delete(id);
    }
  }

  /** Asks the endpoint for the result of a started run whose claimer is gone. */
  async #resolveStarted(job: StoredJob): Promise<void> {
    const result = await this.deps.runner.queryResult(job.value);
    const note = "the claimer is gone and the endpoint has no trace";
    const next = result === undefined
      ? { ...job.value, state: "unknown" as const, note }
      : finishJob(job.value, result);
    await this.deps.store.replace(job, next, this.deps.ids.next());
  }
}
