/**
 * Takes the jobs of a shard from its inbox: applies its rows to the registry,
 * and does what follows for the jobs that are new or cancelled.
 */
import { isFinal, type JobSpec } from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import type { ShardLease } from "../cluster/index.ts";
import type { StoreRow, StoreRowChange } from "../store/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import type { InboxMarks } from "./inbox_marks.ts";
import type { JobOpener } from "./job_opener.ts";
import type { JobRegistry, TrackedJob } from "./job_registry.ts";

/** Dependencies and callbacks of a {@link JobTaker}. */
export interface JobTakerDependencies {
  readonly shard: string;
  readonly lease: Pick<ShardLease, "term">;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly jobs: JobRegistry;
  readonly marks: InboxMarks;
  readonly opener: JobOpener;
  /** Stops the runs of a job that is final. */
  readonly stopJob: (job: string) => void;
  /** Called with the job of each row that is new or cancelled. */
  readonly onTaken: (spec: JobSpec) => void;
  /** Called after the jobs of some rows have been taken. */
  readonly onChange: () => void;
}

/** Applies the rows of an inbox. */
export class JobTaker {
  constructor(private readonly deps: JobTakerDependencies) {}

  /** Prepares for the rows of the whole inbox. */
  beginReset(rows: readonly StoreRow[]): void {
    const { marks, jobs, clock } = this.deps;
    marks.reset(rows, clock.now());
    jobs.beginReset(rows);
  }

  /** Applies some rows of the whole inbox. */
  applyRows(rows: readonly StoreRow[]): void {
    const { jobs, clock } = this.deps;
    const changes = rows.map((row) => ({ kind: "put", row }) as const);
    this.#take(jobs.applyInbox(changes, clock.now()));
  }

  /** Applies changes of the inbox: new and cancelled jobs. */
  applyChanges(changes: readonly StoreRowChange[]): void {
    const { marks, jobs, clock } = this.deps;
    const now = clock.now();
    marks.apply(changes, now);
    this.#take(jobs.applyInbox(changes, now));
  }

  /** Handles jobs that are new or cancelled. */
  #take(jobs: readonly TrackedJob[]): void {
    const { log, shard, lease, opener } = this.deps;
    for (const job of jobs) {
      opener.checkTaskSizes(job);
      opener.openDue(job);
      const { phase } = job.progress;
      const { id } = job.spec;
      log.decision("job-taken", { job: id, shard, phase, term: lease.term });
      if (isFinal(phase)) this.deps.stopJob(id);
      this.deps.onTaken(job.spec);
    }
    this.deps.onChange();
  }
}
