/**
 * Takes the payloads of final jobs out of the inbox, where their rows stay for
 * as long as the jobs can be queried, so that the next owner does not have to
 * read them: over a narrow link that would take most of a takeover.
 */
import { inboxKey } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import type { Store, StoreCommitOutcome, StoreRow } from "../store/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import type { JobRegistry, TrackedJob } from "./job_registry.ts";
import { removalBatches } from "./removal_batches.ts";

/**
 * Size of the payloads of final jobs from which they are taken out, in
 * characters.
 */
const maxKeptPayload = 262_144;

/** Length of a payload from which it is worth a write. */
const minPayload = 500;

/** Minimum time between two passes that write, in ms. */
const minIntervalMs = 500;

/** Time after its end from which a job's payload is taken out, in ms. */
const minFinalAgeMs = 1_000;

/** The same up to which it is; the row goes soon after. */
const maxFinalAgeMs = 120_000;

/** Most jobs of one pass. */
const maxJobsPerPass = 40;

/** Most jobs in one transaction; each takes a check and a put. */
const maxJobsPerBatch = 20;

/** Dependencies of {@link FinalPayloads}. */
export interface FinalPayloadsDependencies {
  readonly shard: string;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly jobs: Pick<JobRegistry, "byId" | "finalPayloads">;
  /** Calls the action once the present state of all jobs is committed. */
  readonly whenCommitted: (action: () => void) => void;
}

/** The row of a job without its payload. */
function rowWithoutPayload(shard: string, { spec }: TrackedJob) {
  const value = JSON.stringify({ ...spec, payload: "" });
  return { ...inboxKey(shard, spec.id), value };
}

/** Takes out the payloads of one shard; {@link pass} is called periodically. */
export class FinalPayloads {
  #isWriting = false;
  #wroteAt = -Infinity;

  constructor(private readonly deps: FinalPayloadsDependencies) {}

  /** Starts to take payloads out if there are many, those of the oldest jobs first. */
  pass(now: number): void {
    const { finalPayloads } = this.deps.jobs;
    if (finalPayloads.size <= maxKeptPayload) return;
    if (this.#isWriting || now - this.#wroteAt < minIntervalMs) return;
    const jobs = this.#dueJobs(now);
    if (jobs.length === 0) return;
    this.#isWriting = true;
    for (const job of jobs) job.isRowChanging = true;
    this.deps.whenCommitted(() => this.#write(jobs));
  }

  /** The jobs whose payload is taken out next. */
  #dueJobs(now: number): readonly TrackedJob[] {
    const { byId, finalPayloads } = this.deps.jobs;
    const due: TrackedJob[] = [];
    for (const id of finalPayloads.ids) {
      const job = byId.get(id);
      const ageMs = now - (job?.finalSince ?? now);
      if (job === undefined || !this.#isWorthWriting(job, ageMs)) {
        finalPayloads.delete(id);
        continue;
      }
      if (ageMs < minFinalAgeMs) break;
      due.push(job);
      if (due.length >= maxJobsPerPass) break;
    }
    return due;
  }

  /** Whether a job's row is long, and stays for some time or is being written. */
  #isWorthWriting({ spec, isRowChanging }: TrackedJob, ageMs: number): boolean {
    return spec.payload.length >= minPayload &&
      (ageMs < maxFinalAgeMs || isRowChanging);
  }

  async #write(jobs: readonly TrackedJob[]): Promise<void> {
    const { shard, clock } = this.deps;
    const batches = removalBatches(
      jobs,
      ({ spec }) => inboxKey(shard, spec.id).partition,
      maxJobsPerBatch,
    );
    for (const batch of batches) await this.#writeBatch(batch);
    this.#wroteAt = clock.now();
    this.#isWriting = false;
  }

  /** Writes rows of one partition. */
  async #writeBatch(jobs: readonly TrackedJob[]): Promise<void> {
    const { shard, store, log } = this.deps;
    const puts = jobs.map((job) => rowWithoutPayload(shard, job));
    const checks = jobs.map(({ spec, inboxVersion: version }) => (
      { ...inboxKey(shard, spec.id), version }
    ));
    const outcome = await store.commit({ checks, puts, removes: [] });
    log.decision("payloads-dropped", {
      shard,
      jobs: jobs.length,
      outcome: outcome.val.kind,
    });
    // Without an answer the rows are written again, which shows their versions.
    if (outcome.ok) this.#recordOutcome(jobs, outcome.val);
    else if (outcome.val.kind === "refused") {
      for (const job of jobs) job.isRowChanging = false;
    }
  }

  /** Records the versions of the rows; another change of a row stays as it is. */
  #recordOutcome(
    jobs: readonly TrackedJob[],
    outcome: StoreCommitOutcome,
  ): void {
    const { shard, jobs: { finalPayloads } } = this.deps;
    const rows = new Map<string, StoreRow>(
      outcome.kind === "conflict"
        ? outcome.rows.map((row) => [row.key, row])
        : [],
    );
    for (const job of jobs) {
      const row = rows.get(job.spec.id);
      const isUnchanged = row?.version === job.inboxVersion;
      if (outcome.kind === "committed") job.inboxVersion = outcome.version;
      else if (row?.value === rowWithoutPayload(shard, job).value) {
        job.inboxVersion = row.version;
      }
      job.isRowChanging = false;
      if (!isUnchanged) finalPayloads.delete(job.spec.id);
    }
  }
}
