/**
 * Recovery of jobs whose claimer is gone. Runs on the entry that holds the
 * controller's lease; every step is a conditional write, so a claimer that
 * was merely slow loses the race and leaves the job.
 */
import type { JobService } from "./job_service.ts";
import type { JobRunner } from "./job_runner.ts";
import type { JobStore, StoredJob } from "./job_store.ts";
import { type Claimer, finishJob } from "./job.ts";
import type { IdSource } from "../clock/index.ts";

const maxRecoveriesPerSweep = 200;

/** What recovery needs of the entry. */
export interface JobRecoveryParts {
  readonly store: JobStore;
  readonly service: JobService;
  readonly runner: JobRunner;
  readonly ids: IdSource;
  /** Whether a claimer is known to be gone or out of reach for long. */
  isClaimerGone(claimer: Claimer): boolean;
}

/** Finds and takes over orphaned jobs. */
export class JobRecovery {
  #recovering = new Set<string>();

  constructor(private readonly parts: JobRecoveryParts) {}

  /** Looks through the open jobs once; returns the number of orphans. */
  async sweep(): Promise<number> {
    const openJobs = await this.parts.store.listOpen();
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
    if (this.parts.service.isWorkingOn(id)) return false;
    return this.parts.isClaimerGone(claimer);
  }

  async #recover(job: StoredJob): Promise<void> {
    const { id, state } = job.value;
    if (this.#recovering.has(id)) return;
    this.#recovering.add(id);
    try {
      if (state === "claimed") await this.parts.service.takeOver(job);
      else await this.#resolveStarted(job);
    } finally {
      this.#recovering.delete(id);
    }
  }

  /** Asks the endpoint about a run that an absent entry had started. */
  async #resolveStarted(job: StoredJob): Promise<void> {
    const result = await this.parts.runner.queryResult(job.value);
    const note = "the claimer is gone and the endpoint has no trace";
    const next = result === undefined
      ? { ...job.value, state: "unknown" as const, note }
      : finishJob(job.value, result);
    await this.parts.store.replace(job, next, this.parts.ids.next());
  }
}
