/**
 * Owner of one shard, which comprises the jobs and endpoints of a pool: takes
 * them over, starts tasks, records their ends, and extends their leases.
 *
 * Safety depends on the order of effects. A placement is committed before its
 * start is sent. An end is committed before the endpoint may discard it. A task
 * whose run may still be in progress gets no new run until the run has been
 * found in the endpoint's lists or stopped, or its lease has expired.
 */
import { ActorSystem } from "../actors/index.ts";
import { jobsForHosts, PoolAllowances } from "../allowances/index.ts";
import {
  encodeWaitingCounts,
  placedTasks,
  progressKey,
  readySteps,
  type Resources,
} from "../batch/index.ts";
import {
  type CommitFailure,
  livenessCommitIntervalMs,
} from "../cluster/index.ts";
import type { StoreRowKey } from "../store/index.ts";
import { DemandReporter } from "../capacity/index.ts";
import { AdvisedSteps, PassTimer, Placer } from "../placement/index.ts";
import { RunRecorder, RunSupervisor, RunTimes } from "../runs/index.ts";
import { CommitQueue } from "./commit_queue.ts";
import {
  EndpointDriver,
  toPoolEndpoints,
  usageOf,
  usedShare,
} from "../sessions/index.ts";
import {
  FinalPayloads,
  InboxFollower,
  InboxMarks,
  JobExpiry,
  JobOpener,
  JobRegistry,
  JobTaker,
  type TrackedJob,
} from "../shard_jobs/index.ts";
import { createLateFilter, OutlookReporter } from "../queueing/index.ts";
import { ShardLoader } from "./shard_loader.ts";
import type { ShardDependencies } from "./shard_dependencies.ts";
import { ShardReports } from "./shard_reports.ts";
import { takenDownEndpoints } from "../upkeep/index.ts";

/** Interval of the periodic work, in ms. */
const tickPeriodMs = 100;

/**
 * Maximum time without a commit, in ms. A commit renews the shard's lease and
 * shows whether the shard has been lost.
 */
const maxCommitIntervalMs = 1_500;

/** Schedules the jobs of one shard while this process owns it. */
export class ShardOwner {
  /** The jobs of the shard. */
  readonly jobs = new JobRegistry();
  /** Commits the progress of jobs and further rows of the shard. */
  readonly commits: CommitQueue;
  /** Sessions and runs at the endpoints of the shard. */
  readonly driver: EndpointDriver;
  readonly #expiry: JobExpiry;
  readonly #finalPayloads: FinalPayloads;
  readonly #supervisor: RunSupervisor;
  readonly #recorder: RunRecorder;
  readonly #actors: ActorSystem;
  readonly #inbox: InboxFollower;
  readonly #marks: InboxMarks;
  readonly #opener: JobOpener;
  #unsubscribe: () => void = () => {};
  readonly #passTimer: PassTimer;
  readonly #demandReporter: DemandReporter;
  readonly #runTimes = new RunTimes();
  readonly #placer: Placer;
  readonly #reports: ShardReports;
  readonly #outlook: OutlookReporter;
  readonly #advisedSteps: AdvisedSteps;
  readonly #allowances: PoolAllowances;
  #isStopped = false;
  /** Whether the stored state has been read. */
  #isLoaded = false;

  constructor(private readonly deps: ShardDependencies) {
    const { shard, clock, lease } = deps;
    this.#actors = new ActorSystem(clock, deps.onCrash);
    this.#passTimer = new PassTimer(
      clock,
      () => this.jobs.active.size,
      () => this.#placer.runPass(this.#activeJobs()),
    );
    this.commits = new CommitQueue(lease, clock, {
      dirty: this.jobs.dirty,
      rowOf: (key) => {
        const value = this.jobs.encodedProgress(key);
        return value === undefined
          ? undefined
          : { ...progressKey(shard, key), value };
      },
    }, {
      onFailure: (failure) => this.#handleCommitFailure(failure),
      onRowRejected: (row, bytes) => this.#handleRejectedRow(row, bytes),
    });
    this.#demandReporter = new DemandReporter({
      ...deps,
      runTimes: this.#runTimes,
      createLateFilter: (at) => createLateFilter(at, this.#runTimes),
      write: (row, stored) => {
        this.commits.put(row);
        this.commits.whenCommitted(stored);
      },
    });
    this.#advisedSteps = new AdvisedSteps({
      ...deps,
      onChange: () => this.requestPass(),
    });
    this.#reports = new ShardReports(shard, {
      encodeCounts: () =>
        encodeWaitingCounts({
          term: lease.term,
          queues: this.jobs.waitingByQueue(),
        }),
      encodeRunTimes: () => this.#runTimes.encode(),
      encodeUnconfirmedDiscards: () =>
        this.driver.discards.unconfirmed.encode(),
    });
    this.#outlook = new OutlookReporter(shard, clock, this.#runTimes);
    this.#recorder = new RunRecorder({
      ...deps,
      jobs: this.jobs,
      runTimes: this.#runTimes,
      stopJob: (job) => this.driver.stopJob(job),
      stopOtherRuns: (job, ref, run) =>
        this.driver.stopOtherRuns(job, ref, run),
      onEnd: () => this.requestPass(),
    });
    this.driver = new EndpointDriver({
      ...deps,
      onRunEnded: (run, end, checkpoint) =>
        this.#recorder.recordTrackedEnd(run, end, checkpoint),
      onUntrackedRunEnded: (job, ref, run, end, checkpoint) =>
        this.#recorder.recordEnd(job, ref, run, end, checkpoint),
      adoptPlacement: (job, ref, placement) =>
        this.#recorder.adoptPlacement(job, ref, placement),
      mayStart: (run) => this.#recorder.mayStart(run),
      onRunConfirmed: (run) => this.#recorder.recordConfirmed(run),
      takenDownEndpoints: () => takenDownEndpoints(deps.vacating()),
      onTicketRejected: (run, session) =>
        this.#advisedSteps.recordRejection(run, session),
      whenCommitted: (action) => this.commits.whenCommitted(action),
      onCapacityChange: () => this.requestPass(),
      onDiscardUnconfirmed: () => this.commits.put(this.#reports.discardsRow()),
      onOwnerFenced: () => this.#stopAfterLoss("fenced by an endpoint"),
    });
    this.#allowances = new PoolAllowances({
      ...deps,
      runs: () => this.driver.runsInProgress(),
      onChange: () => this.requestPass(),
    });
    this.#placer = new Placer({
      ...deps,
      allowances: this.#allowances,
      jobs: this.jobs,
      commits: this.commits,
      driver: this.driver,
      offers: this.#demandReporter.offers,
      advisedSteps: this.#advisedSteps,
      runTimes: this.#runTimes,
    });
    this.#supervisor = new RunSupervisor({
      ...deps,
      jobs: this.jobs,
      driver: this.driver,
      hasRoomToStay: (job, ref) => this.#placer.hasRoomToStay(job, ref),
      putRow: (row) => this.commits.put(row),
      removeRow: (row) => this.commits.remove(row),
    });
    this.#expiry = new JobExpiry({
      ...deps,
      jobs: this.jobs,
      whenCommitted: (action) => this.commits.whenCommitted(action),
      removeProgress: (key) => this.commits.remove(progressKey(shard, key)),
    });
    this.#finalPayloads = new FinalPayloads({
      ...deps,
      jobs: this.jobs,
      whenCommitted: (action) => this.commits.whenCommitted(action),
    });
    this.#opener = new JobOpener({
      ...deps,
      jobs: this.jobs,
      knownHosts: () => this.#knownHosts(),
    });
    this.#marks = new InboxMarks({
      ...deps,
      hasJob: (id) => this.jobs.byId.has(id),
    });
    const taker = new JobTaker({
      ...deps,
      jobs: this.jobs,
      marks: this.#marks,
      opener: this.#opener,
      stopJob: (job) => this.driver.stopJob(job),
      onTaken: (spec) => this.#demandReporter.recordArrival(spec),
      onChange: () => this.requestPass(),
    });
    this.#inbox = new InboxFollower(deps, {
      beginReset: (rows) => taker.beginReset(rows),
      applyRows: (rows) => taker.applyRows(rows),
      changed: (changes) => taker.applyChanges(changes),
      isStopped: () => this.#isStopped,
    });
  }

  /**
   * Whether no task waits for placement or for the end of a lease, and few jobs
   * arrive, so that a change of owner delays no job. That is known only once the
   * stored state has been read.
   */
  get isQuiet(): boolean {
    return this.#isLoaded && !this.driver.hasUnsettledRuns &&
      this.#activeJobs().every(({ progress, spec }) =>
        readySteps(progress, spec).every((ready) => ready.waiting === 0)
      ) && this.#demandReporter.isQuiet;
  }

  /**
   * Reads the stored state and starts the loops. Returns false when the state
   * cannot be read for long or the owner has been stopped meanwhile.
   */
  async start(): Promise<boolean> {
    const { registry } = this.deps;
    const loader = new ShardLoader({
      ...this.deps,
      isStopped: () => this.#isStopped,
      renewLease: () => this.#renewLease(),
    });
    const stored = await loader.load();
    if (stored === undefined) return false;
    this.jobs.loadStoredProgress(stored.progress);
    this.#demandReporter.withdrawInherited(stored.demand);
    this.#runTimes.load(stored.runTimes);
    this.driver.discards.unconfirmed.load(
      stored.unconfirmedDiscards,
      this.deps.clock.now(),
    );
    if (!await loader.loadInbox(this.#inbox.watch)) return false;
    this.jobs.noteOrphanedProgress();
    loader.logLoaded({
      jobs: this.jobs.byId.size,
      openJobs: this.jobs.active.size,
    });
    this.#unsubscribe = registry.onChange(() => this.#refreshEndpoints());
    this.#adoptPlacements();
    this.#isLoaded = true;
    this.#refreshEndpoints();
    this.#actors.loop("allowances", () => this.#allowances.poll());
    this.#actors.loop("inbox", () => this.#inbox.poll());
    this.#actors.loop("care", () => this.#tick());
    return true;
  }

  /** Sends no further orders; running tasks continue under their leases. */
  stop(): void {
    this.#isStopped = true;
    this.#unsubscribe();
    this.#actors.stop();
    this.#passTimer.stop();
    this.#allowances.stop();
    this.driver.stop();
    this.commits.stop();
  }

  /**
   * Stops and releases the shard, so that another entry can take it over
   * without waiting for the lease to expire.
   */
  async release(): Promise<void> {
    this.stop();
    await this.commits.drain();
    if (!this.deps.lease.isLost) await this.deps.lease.release();
  }

  /** Requests a placement pass soon. */
  requestPass(): void {
    this.#passTimer.request();
  }

  /** Capacities of the hosts of all pools that have a registered endpoint. */
  #knownHosts(): readonly Resources[] {
    return this.deps.registry.all().map(({ capacity }) => capacity);
  }

  /** Tracks the runs that an earlier owner may have started. */
  #adoptPlacements(): void {
    for (const job of this.jobs.byId.values()) {
      for (const { ref, placement } of placedTasks(job.progress)) {
        this.driver.adoptRun(job.spec, ref, placement);
      }
    }
  }

  #refreshEndpoints(): void {
    this.driver.syncWithRegistry();
    this.requestPass();
  }

  /**
   * Does the periodic work: due occurrences, sessions, supervision of runs,
   * expiry of jobs, reports and renewal. Returns the pause until the next time,
   * in ms.
   */
  #tick(): Promise<number> {
    const { clock } = this.deps;
    const now = clock.now();
    for (const id of this.jobs.active) {
      const job = this.jobs.byId.get(id);
      if (job?.spec.schedule !== undefined) this.#opener.openDue(job);
    }
    this.#removeObsoleteRows();
    this.driver.syncWithRegistry();
    for (const session of this.driver.sessions()) {
      if (this.#recorder.recordAcknowledgements(session)) this.commits.flush();
    }
    this.#supervisor.pass();
    this.#expiry.pass(now);
    this.#finalPayloads.pass(now);
    this.#marks.pass(now);
    for (const row of this.#reports.changedRows(now)) this.commits.put(row);
    const outlook = this.#outlook.changedRow(this.#placer.load);
    if (outlook !== undefined) this.commits.put(outlook);
    this.#demandReporter.report({
      jobs: jobsForHosts(
        this.#activeJobs(),
        this.#allowances.heldBackJobs,
      ),
      endpoints: toPoolEndpoints(this.driver.sessions(), this.deps, now),
      knownHosts: this.#knownHosts(),
      minHosts: this.#advisedSteps.requiredHosts,
      usedShare: usedShare(usageOf(this.driver.sessions())),
    });
    this.#renewLease();
    this.requestPass();
    return Promise.resolve(tickPeriodMs);
  }

  /** Removes rows that are obsolete once the present state is committed. */
  #removeObsoleteRows(): void {
    const keys = this.jobs.takeObsoleteRows();
    if (keys.length === 0) return;
    this.commits.whenCommitted(() => {
      for (const key of keys) {
        this.commits.remove(progressKey(this.deps.shard, key));
      }
    });
  }

  /** Renews the lease if nothing has been committed for long. */
  #renewLease(): void {
    const { lease, areHeartbeatsLate } = this.deps;
    const maxAgeMs = areHeartbeatsLate()
      ? livenessCommitIntervalMs
      : maxCommitIntervalMs;
    if (lease.ageMs > maxAgeMs) this.commits.flush();
  }

  #activeJobs(): readonly TrackedJob[] {
    return [...this.jobs.active]
      .map((id) => this.jobs.byId.get(id)).filter((job) => job !== undefined);
  }

  /** Logs a failed commit, and stops if the shard has been lost. */
  #handleCommitFailure(failure: CommitFailure): void {
    const { log, shard, lease } = this.deps;
    log.decision("commit-failed", {
      shard,
      term: lease.term,
      reason: failure.kind,
      message: failure.message,
      ageMs: Math.round(lease.ageMs),
    });
    if (failure.kind === "lost") this.#stopAfterLoss(failure.message);
  }

  /**
   * Logs a row that the store does not accept. If it is of a job's progress, the
   * job can't go on: it fails, and its runs are stopped.
   */
  #handleRejectedRow({ table, key }: StoreRowKey, bytes: number): void {
    const { clock, log, shard, lease } = this.deps;
    const { term } = lease;
    const isProgress = table === progressKey(shard, key).table;
    const job = isProgress
      ? this.jobs.failUnstorable(key, clock.now())
      : undefined;
    log.decision("row-rejected", { shard, term, table, key, bytes, job });
    if (job !== undefined) this.driver.stopJob(job);
  }

  /** Stops because the shard has another owner; calls `onLost` once. */
  #stopAfterLoss(reason: string): void {
    if (this.#isStopped) return;
    const { log, shard, lease } = this.deps;
    log.decision("shard-lost", { shard, term: lease.term, reason });
    this.stop();
    this.deps.onLost();
  }
}
