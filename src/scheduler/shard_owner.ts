/**
 * Owner of one shard: takes over the jobs and the endpoints of a pool, starts
 * tasks, records their ends, and keeps their leases.
 *
 * The order of effects is what makes it safe. An intent is committed before
 * its start is sent. An end is committed before the endpoint may forget it.
 * A task whose run may still be under way gets no further run: the run is
 * found in the endpoint's lists, or stopped, or its lease runs out first.
 */
import { ActorSystem } from "../actors/index.ts";
import {
  beginJob,
  cancelKey,
  endRun,
  inboxKey,
  inboxTable,
  isFinal,
  learnedKey,
  onlyKey,
  placedTasks,
  progressKey,
  progressRange,
  readySteps,
  type RunEnd,
  taskAt,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import type { CommitFailure } from "../cluster/index.ts";
import {
  partitionsOf,
  type Row,
  type RowChange,
  TableWatch,
} from "../store/index.ts";
import { demandKey } from "../upkeep/index.ts";
import { AdvisedSteps } from "./advised_steps.ts";
import { RunSupervisor } from "./caretaker.ts";
import { CommitQueue } from "./commit_queue.ts";
import { DemandReporter } from "./demand_reporter.ts";
import { EndpointDriver } from "./endpoint_driver.ts";
import type { Run } from "./endpoint_session.ts";
import { type BookedJob, JobBook } from "./job_book.ts";
import type { ShardParts } from "./shard_parts.ts";
import { ShardReports } from "./shard_reports.ts";
import { Placer } from "./placer.ts";
import { PlanTimer } from "./plan_timer.ts";
import { RunTimes } from "./run_times.ts";

/**
 * How long a poll of the inbox waits for a new job, in ms. A poll that waits
 * when the store drops its history may hear of nothing until its wait is over.
 */
const inboxWaitMs = 250;

/** Pause after a failed poll, in ms. */
const inboxRetryPauseMs = 60;

/** Time between two passes over what is due, stalled or draining, in ms. */
const tickPeriodMs = 100;

/** Longest time without a commit; a commit shows whether the shard is lost. */
const maxCommitIntervalMs = 1_500;

/** How long a final job can be asked for, in ms. */
const finalJobRetentionMs = 150_000;

/** The running owner of a shard. */
export class ShardOwner {
  readonly jobs = new JobBook();
  readonly commits: CommitQueue;
  readonly driver: EndpointDriver;
  readonly #supervisor: RunSupervisor;
  readonly #actors: ActorSystem;
  readonly #inbox: TableWatch;
  #unsubscribe: () => void = () => {};
  readonly #planTimer: PlanTimer;
  readonly #demandReporter: DemandReporter;
  readonly #runTimes = new RunTimes();
  readonly #placer: Placer;
  readonly #reports: ShardReports;
  readonly #advisedSteps: AdvisedSteps;
  #isStopped = false;

  constructor(private readonly parts: ShardParts) {
    const { shard, clock, store, lease } = parts;
    this.#actors = new ActorSystem(clock, parts.crashed);
    this.#planTimer = new PlanTimer(
      clock,
      () => this.jobs.active.size,
      () => this.#placer.pass(this.#activeJobs()),
    );
    this.commits = new CommitQueue(lease, clock, {
      dirty: this.jobs.dirty,
      rowOf: (id) => {
        const value = this.jobs.encodedProgress(id);
        return value === undefined
          ? undefined
          : { ...progressKey(shard, id), value };
      },
    }, (failure) => this.#handleCommitFailure(failure));
    this.#demandReporter = new DemandReporter({
      ...parts,
      runTimes: this.#runTimes,
      write: (row, stored) => {
        this.commits.put(row);
        this.commits.then(stored);
      },
    });
    this.#advisedSteps = new AdvisedSteps({
      ...parts,
      changed: () => this.requestPlan(),
    });
    this.#reports = new ShardReports(shard, {
      encodeCounts: () => JSON.stringify(this.jobs.waitingByQueue()),
      encodeLearned: () => this.#runTimes.encode(),
    });
    this.driver = new EndpointDriver({
      ...parts,
      runEnded: (run, end, checkpoint) => this.#runEnded(run, end, checkpoint),
      untrackedRunEnded: (job, ref, run, end, checkpoint) =>
        this.#applyEnd(job, ref, run, end, checkpoint),
      mayStart: (run) => this.#mayStart(run),
      runConfirmed: (run) => this.#runConfirmed(run),
      takenDownEndpoints: () => this.#takenDownEndpoints(),
      ticketRejected: (run, session) =>
        this.#advisedSteps.rejected(run, session),
      whenCommitted: (action) => this.commits.then(action),
      capacityChanged: () => this.requestPlan(),
      ownerFenced: () => this.#loseShard("fenced by an endpoint"),
    });
    this.#placer = new Placer({
      ...parts,
      book: this.jobs,
      commits: this.commits,
      driver: this.driver,
      offers: this.#demandReporter.offers,
      advised: this.#advisedSteps,
      times: this.#runTimes,
    });
    this.#supervisor = new RunSupervisor({
      ...parts,
      jobs: this.jobs,
      driver: this.driver,
      putRow: (row) => this.commits.put(row),
      removeRow: (row) => this.commits.remove(row),
    });
    const partitions = partitionsOf(shard);
    this.#inbox = new TableWatch(store, inboxTable(shard), partitions, {
      reset: (rows) => this.#resetInbox(rows),
      changed: (changes) => this.#applyInbox(changes),
    });
  }

  /** Whether no task waits for a place and few jobs arrive. */
  get isQuiet(): boolean {
    return this.#activeJobs().every(({ progress, spec }) =>
      readySteps(progress, spec).every((ready) => ready.waiting === 0)
    ) && this.#demandReporter.isQuiet;
  }

  /** Reads the stored state and starts the loops; false when it can't. */
  async start(): Promise<boolean> {
    const { store, shard, registry } = this.parts;
    const [stored, demand, learned, isCurrent] = await Promise.all([
      store.range(progressRange(shard)),
      store.range(onlyKey(demandKey(shard))),
      store.range(onlyKey(learnedKey(shard))),
      this.parts.refreshVacating(),
    ]);
    if (stored.err || demand.err || learned.err) return false;
    if (!isCurrent || this.#isStopped) return false;
    this.jobs.loadStoredProgress(stored.val.rows);
    this.#demandReporter.withdrawInherited(demand.val.rows[0]?.value ?? "");
    this.#runTimes.load(learned.val.rows[0]?.value ?? "");
    const read = await this.#inbox.poll(0);
    if (read.err || this.#isStopped) return false;
    this.#unsubscribe = registry.onChange(() => this.#refreshEndpoints());
    this.#adoptPlacements();
    this.#refreshEndpoints();
    this.#actors.loop("inbox", () => this.#pollInbox());
    this.#actors.loop("care", () => this.#tick());
    return true;
  }

  /** Stops ordering; what runs goes on under its leases. */
  stop(): void {
    this.#isStopped = true;
    this.#unsubscribe();
    this.#actors.stop();
    this.#planTimer.stop();
    this.driver.stop();
    this.commits.stop();
  }

  /** Stops and gives the shard up, so that another entry takes it at once. */
  async release(): Promise<void> {
    this.stop();
    await this.commits.drain();
    if (!this.parts.lease.isLost) await this.parts.lease.release();
  }

  /** Asks for a pass of placement soon. */
  requestPlan(): void {
    this.#planTimer.want();
  }

  #resetInbox(rows: readonly Row[]): void {
    this.#applyInbox(rows.map((row) => ({ kind: "put", row })));
  }

  #applyInbox(changes: readonly RowChange[]): void {
    const { clock, log, shard } = this.parts;
    for (const job of this.jobs.takeInbox(changes, clock.now())) {
      this.jobs.openDue(job, clock.wall(), clock.now());
      log.decision("job-taken", {
        job: job.spec.id,
        shard,
        phase: job.progress.phase,
        term: this.parts.lease.term,
      });
      if (isFinal(job.progress.phase)) this.driver.stopJob(job.spec.id);
      this.#demandReporter.jobArrived(job.spec);
    }
    this.requestPlan();
  }

  /** Takes over the runs that an earlier owner may have started. */
  #adoptPlacements(): void {
    for (const job of this.jobs.jobs.values()) {
      for (const { ref, placement } of placedTasks(job.progress)) {
        this.driver.adoptRun(job.spec, ref, placement);
      }
    }
  }

  #refreshEndpoints(): void {
    this.driver.syncWithRegistry();
    this.requestPlan();
  }

  async #pollInbox(): Promise<number> {
    const polled = await this.#inbox.poll(inboxWaitMs);
    // After the history was dropped the next poll reads the whole inbox.
    const isFailed = polled.err && polled.val.kind !== "expired";
    return isFailed ? inboxRetryPauseMs : 0;
  }

  #tick(): Promise<number> {
    const { clock, lease } = this.parts;
    const now = clock.now();
    const wall = clock.wall();
    for (const id of this.jobs.active) {
      const job = this.jobs.jobs.get(id);
      if (job?.spec.schedule !== undefined) this.jobs.openDue(job, wall, now);
    }
    this.driver.syncWithRegistry();
    this.#supervisor.pass();
    this.#expireJobs(now);
    for (const row of this.#reports.changedRows(now)) this.commits.put(row);
    this.#demandReporter.report(
      this.#activeJobs(),
      this.driver.sessions(),
      this.#advisedSteps.hostsWanted,
    );
    if (lease.ageMs > maxCommitIntervalMs) this.commits.flush();
    this.requestPlan();
    return Promise.resolve(tickPeriodMs);
  }

  /** Whether a run that was intended should still start. */
  #mayStart(run: Run): boolean {
    const job = this.jobs.jobs.get(run.job);
    if (job === undefined || isFinal(job.progress.phase)) return false;
    return taskAt(job.progress, run.ref)?.placement?.run === run.run;
  }

  /** The next write of the job carries it; it needs none of its own. */
  #runConfirmed(run: Run): void {
    const job = this.jobs.jobs.get(run.job);
    if (job !== undefined) job.progress = beginJob(job.progress);
  }

  #takenDownEndpoints(): ReadonlySet<string> {
    const down = [...this.parts.vacating()].filter(([, s]) => s === "down");
    return new Set(down.map(([id]) => id));
  }

  #runEnded(run: Run, end: RunEnd, checkpoint: string): void {
    if (end === "done") this.#learnRunTime(run);
    this.#applyEnd(
      run.job,
      run.ref,
      run.run,
      end,
      checkpoint || run.checkpoint,
    );
  }

  /** Learns from a run how long tasks of its queue take. */
  #learnRunTime({ job, step, begunAt }: Run): void {
    const queue = this.jobs.jobs.get(job)?.spec.queue;
    if (queue === undefined || begunAt === undefined) return;
    this.#runTimes.ran(queue, step, this.parts.clock.now() - begunAt);
  }

  #applyEnd(
    id: string,
    ref: TaskRef,
    run: number,
    end: RunEnd,
    checkpoint: string,
  ): void {
    const job = this.jobs.jobs.get(id);
    if (job === undefined) return;
    const { clock, log, shard } = this.parts;
    const placement = taskAt(job.progress, ref)?.placement;
    if (end === "failed" && placement?.run === run) {
      this.jobs.recordFailure(job, ref, placement.endpoint);
    }
    const next = endRun(job.progress, job.spec, ref, run, end, checkpoint);
    this.jobs.update(job, next, clock.now());
    log.decision("task-ended", {
      job: id,
      task: taskName(id, ref),
      run,
      end,
      shard,
      phase: next.phase,
      known: placement?.run === run,
    });
    if (isFinal(next.phase)) this.driver.stopJob(id);
    else if (end === "done") this.driver.stopOtherRuns(id, ref, run);
    this.requestPlan();
  }

  #expireJobs(now: number): void {
    const { shard } = this.parts;
    for (const id of this.jobs.expiredJobs(now, finalJobRetentionMs)) {
      this.jobs.forget(id);
      this.commits.remove(inboxKey(shard, id));
      this.commits.remove(cancelKey(shard, id));
      this.commits.remove(progressKey(shard, id));
    }
  }

  #activeJobs(): readonly BookedJob[] {
    return [...this.jobs.active]
      .map((id) => this.jobs.jobs.get(id)).filter((job) => job !== undefined);
  }

  #handleCommitFailure(failure: CommitFailure): void {
    const { log, shard, lease } = this.parts;
    log.decision("commit-failed", {
      shard,
      term: lease.term,
      reason: failure.kind,
      message: failure.message,
      ageMs: Math.round(lease.ageMs),
    });
    if (failure.kind === "lost") this.#loseShard(failure.message);
  }

  #loseShard(reason: string): void {
    if (this.#isStopped) return;
    const { log, shard, lease } = this.parts;
    log.decision("shard-lost", { shard, term: lease.term, reason });
    this.stop();
    this.parts.lost();
  }
}
