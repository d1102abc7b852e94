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
import { Caretaker } from "./caretaker.ts";
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
const inboxRetryMs = 60;

/** Time between two passes over what is due, stalled or draining, in ms. */
const carePeriodMs = 100;

/** Longest time without a commit; a commit shows whether the shard is lost. */
const renewMs = 1_500;

/** How long a final job can be asked for, in ms. */
const keepFinalMs = 150_000;

/** The running owner of a shard. */
export class ShardOwner {
  readonly book = new JobBook();
  readonly commits: CommitQueue;
  readonly driver: EndpointDriver;
  readonly #caretaker: Caretaker;
  readonly #actors: ActorSystem;
  readonly #inbox: TableWatch;
  #unsubscribe: () => void = () => {};
  readonly #plans: PlanTimer;
  readonly #demand: DemandReporter;
  readonly #times = new RunTimes();
  readonly #placer: Placer;
  readonly #reports: ShardReports;
  readonly #advised: AdvisedSteps;
  #stopped = false;

  constructor(private readonly parts: ShardParts) {
    const { shard, clock, store, lease } = parts;
    this.#actors = new ActorSystem(clock, parts.crashed);
    this.#plans = new PlanTimer(
      clock,
      () => this.book.active.size,
      () => this.#placer.pass(this.#activeJobs()),
    );
    this.commits = new CommitQueue(lease, clock, {
      dirty: this.book.dirty,
      put: (id) => {
        const value = this.book.encoded(id);
        return value === undefined
          ? undefined
          : { ...progressKey(shard, id), value };
      },
    }, (failure) => this.#commitFailed(failure));
    this.#demand = new DemandReporter({
      ...parts,
      times: this.#times,
      write: (row, stored) => {
        this.commits.put(row);
        this.commits.then(stored);
      },
    });
    this.#advised = new AdvisedSteps({
      ...parts,
      changed: () => this.wantPlan(),
    });
    this.#reports = new ShardReports(shard, {
      counts: () => JSON.stringify(this.book.waiting()),
      learned: () => this.#times.encode(),
    });
    this.driver = new EndpointDriver({
      ...parts,
      ended: (run, end, checkpoint) => this.#runEnded(run, end, checkpoint),
      endedElsewhere: (job, ref, run, end, checkpoint) =>
        this.#applyEnd(job, ref, run, end, checkpoint),
      mayStart: (run) => this.#isWanted(run),
      begun: (run) => this.#begun(run),
      endedLives: () => this.#endedLives(),
      ticketRejected: (run, session) => this.#advised.rejected(run, session),
      afterCommit: (action) => this.commits.then(action),
      changed: () => this.wantPlan(),
      fenced: () => this.#lose("fenced by an endpoint"),
    });
    this.#placer = new Placer({
      ...parts,
      book: this.book,
      commits: this.commits,
      driver: this.driver,
      offers: this.#demand.offers,
      advised: this.#advised,
      times: this.#times,
    });
    this.#caretaker = new Caretaker({
      ...parts,
      book: this.book,
      driver: this.driver,
      report: (row) => this.commits.put(row),
      retract: (row) => this.commits.remove(row),
    });
    const partitions = partitionsOf(shard);
    this.#inbox = new TableWatch(store, inboxTable(shard), partitions, {
      reset: (rows) => this.#readInbox(rows),
      changed: (changes) => this.#takeInbox(changes),
    });
  }

  /** Whether no task waits for a place and few jobs arrive. */
  get isQuiet(): boolean {
    return this.#activeJobs().every(({ progress, spec }) =>
      readySteps(progress, spec).every((ready) => ready.waiting === 0)
    ) && this.#demand.isQuiet;
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
    if (!isCurrent || this.#stopped) return false;
    this.book.loadProgress(stored.val.rows);
    this.#demand.inherit(demand.val.rows[0]?.value ?? "");
    this.#times.load(learned.val.rows[0]?.value ?? "");
    const read = await this.#inbox.poll(0);
    if (read.err || this.#stopped) return false;
    this.#unsubscribe = registry.onChange(() => this.#refreshEndpoints());
    this.#adoptPlacements();
    this.#refreshEndpoints();
    this.#actors.loop("inbox", () => this.#followInbox());
    this.#actors.loop("care", () => this.#care());
    return true;
  }

  /** Stops ordering; what runs goes on under its leases. */
  stop(): void {
    this.#stopped = true;
    this.#unsubscribe();
    this.#actors.stop();
    this.#plans.stop();
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
  wantPlan(): void {
    this.#plans.want();
  }

  #readInbox(rows: readonly Row[]): void {
    this.#takeInbox(rows.map((row) => ({ kind: "put", row })));
  }

  #takeInbox(changes: readonly RowChange[]): void {
    const { clock, log, shard } = this.parts;
    for (const job of this.book.takeInbox(changes, clock.now())) {
      this.book.openDue(job, clock.wall(), clock.now());
      log.decision("job-taken", {
        job: job.spec.id,
        shard,
        phase: job.progress.phase,
        term: this.parts.lease.term,
      });
      if (isFinal(job.progress.phase)) this.driver.stopJob(job.spec.id);
      this.#demand.arrived(job.spec);
    }
    this.wantPlan();
  }

  /** Takes over the runs that an earlier owner may have started. */
  #adoptPlacements(): void {
    for (const job of this.book.jobs.values()) {
      for (const { ref, placement } of placedTasks(job.progress)) {
        this.driver.adopt(job.spec, ref, placement);
      }
    }
  }

  #refreshEndpoints(): void {
    this.driver.refresh();
    this.wantPlan();
  }

  async #followInbox(): Promise<number> {
    const polled = await this.#inbox.poll(inboxWaitMs);
    // After the history was dropped the next poll reads the whole inbox.
    const isFailed = polled.err && polled.val.kind !== "expired";
    return isFailed ? inboxRetryMs : 0;
  }

  #care(): Promise<number> {
    const { clock, lease } = this.parts;
    const now = clock.now();
    const wall = clock.wall();
    for (const id of this.book.active) {
      const job = this.book.jobs.get(id);
      if (job?.spec.schedule !== undefined) this.book.openDue(job, wall, now);
    }
    this.driver.refresh();
    this.#caretaker.pass();
    this.#expireJobs(now);
    for (const row of this.#reports.due(now)) this.commits.put(row);
    this.#demand.report(
      this.#activeJobs(),
      this.driver.sessions(),
      this.#advised.hostsWanted,
    );
    if (lease.ageMs > renewMs) this.commits.flush();
    this.wantPlan();
    return Promise.resolve(carePeriodMs);
  }

  /** Whether a run that was intended should still start. */
  #isWanted(run: Run): boolean {
    const job = this.book.jobs.get(run.job);
    if (job === undefined || isFinal(job.progress.phase)) return false;
    return taskAt(job.progress, run.ref)?.placement?.run === run.run;
  }

  /** The next write of the job carries it; it needs none of its own. */
  #begun(run: Run): void {
    const job = this.book.jobs.get(run.job);
    if (job !== undefined) job.progress = beginJob(job.progress);
  }

  #endedLives(): ReadonlySet<string> {
    const down = [...this.parts.vacating()].filter(([, s]) => s === "down");
    return new Set(down.map(([id]) => id));
  }

  #runEnded(run: Run, end: RunEnd, checkpoint: string): void {
    if (end === "done") this.#learn(run);
    this.#applyEnd(
      run.job,
      run.ref,
      run.run,
      end,
      checkpoint || run.checkpoint,
    );
  }

  /** Learns from a run how long tasks of its queue take. */
  #learn({ job, step, begunAt }: Run): void {
    const queue = this.book.jobs.get(job)?.spec.queue;
    if (queue === undefined || begunAt === undefined) return;
    this.#times.ran(queue, step, this.parts.clock.now() - begunAt);
  }

  #applyEnd(
    id: string,
    ref: TaskRef,
    run: number,
    end: RunEnd,
    checkpoint: string,
  ): void {
    const job = this.book.jobs.get(id);
    if (job === undefined) return;
    const { clock, log, shard } = this.parts;
    const placed = taskAt(job.progress, ref)?.placement;
    if (end === "failed" && placed?.run === run) {
      this.book.noteFailure(job, ref, placed.endpoint);
    }
    const next = endRun(job.progress, job.spec, ref, run, end, checkpoint);
    this.book.update(job, next, clock.now());
    log.decision("task-ended", {
      job: id,
      task: taskName(id, ref),
      run,
      end,
      shard,
      phase: next.phase,
      known: placed?.run === run,
    });
    if (isFinal(next.phase)) this.driver.stopJob(id);
    else if (end === "done") this.driver.stopOtherRuns(id, ref, run);
    this.wantPlan();
  }

  #expireJobs(now: number): void {
    const { shard } = this.parts;
    for (const id of this.book.expired(now, keepFinalMs)) {
      this.book.forget(id);
      this.commits.remove(inboxKey(shard, id));
      this.commits.remove(cancelKey(shard, id));
      this.commits.remove(progressKey(shard, id));
    }
  }

  #activeJobs(): readonly BookedJob[] {
    return [...this.book.active]
      .map((id) => this.book.jobs.get(id)).filter((job) => job !== undefined);
  }

  #commitFailed(failure: CommitFailure): void {
    const { log, shard, lease } = this.parts;
    log.decision("commit-failed", {
      shard,
      term: lease.term,
      reason: failure.kind,
      message: failure.message,
      ageMs: Math.round(lease.ageMs),
    });
    if (failure.kind === "lost") this.#lose(failure.message);
  }

  #lose(reason: string): void {
    if (this.#stopped) return;
    const { log, shard, lease } = this.parts;
    log.decision("shard-lost", { shard, term: lease.term, reason });
    this.stop();
    this.parts.lost();
  }
}
