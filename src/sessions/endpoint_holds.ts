/**
 * Extends the task leases of a shard's endpoints and processes the task lists
 * that the endpoints return. Each endpoint has its own loop of holds: a hold
 * is a long poll that extends the lease and is answered with the lists of
 * running and ended tasks.
 */
import { parseTaskName } from "../batch/index.ts";
import { delay } from "../clock/index.ts";
import type {
  EndedTask,
  EndpointLists,
  HoldOutcome,
} from "../endpoint/index.ts";
import { isStartingUp, type RunOrders } from "../runs/index.ts";
import {
  type DriverDependencies,
  logRunDecision,
  maxCommitAgeForHoldMs,
  type SessionControl,
} from "./driver_dependencies.ts";
import type { EndDiscards } from "./end_discards.ts";
import { runEndsBy } from "./endpoint_lease.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import { noFailures, withFailure } from "./failure_history.ts";
import type { Run } from "./run.ts";

/** Time for which an endpoint keeps a hold open until a task ends, in ms. */
export const holdWaitMs = 1_000;

/**
 * The same while a long-running task starts up, or while it is not known whether
 * a run is in progress, in ms. It is shorter because the next task of the step may
 * be moved only once this one is known to be serving, and because the endpoint
 * tells by two lists, before and after a stop, that a run is not there: a task
 * stands still meanwhile, and no end of it ends the wait.
 */
const shortHoldWaitMs = 250;

/** Pause between two holds of an endpoint without runs, in ms. */
const idleHoldPauseMs = 10_000;

/** Pause after a failed hold, in ms. */
const holdRetryPauseMs = 250;

/**
 * Pause before a hold while recorded ends wait to be discarded, in ms: the
 * endpoint answers each hold at once meanwhile. It lets one discard cover further
 * ends, and lets starts be answered that keep it back.
 */
const discardPauseMs = 50;

/** Whether the session's incarnation has listed a run as running. */
function isListed({ percent }: Run): boolean {
  return percent !== -1;
}

/**
 * Whether it is not known of some run if it is in progress: it is doubtful, or it
 * is being stopped and was never listed.
 */
function hasDoubtfulRun({ runs }: EndpointSession): boolean {
  return [...runs.values()].some((run) =>
    run.phase === "doubtful" || (run.phase === "stopping" && !isListed(run))
  );
}

/** The hold loops of one shard's endpoints. */
export class EndpointHolds {
  /** Functions that end the current pause of each hold loop. */
  readonly #resumeBySession = new Map<EndpointSession, () => void>();

  constructor(
    private readonly deps: DriverDependencies,
    private readonly control: SessionControl,
    private readonly runOrders: RunOrders,
    private readonly discards: EndDiscards,
  ) {}

  /**
   * Sends holds to an endpoint until its session is closed or the owner stops.
   */
  async holdUntilClosed(session: EndpointSession): Promise<void> {
    while (!this.control.isStopped && !session.closed) {
      const pause = await this.#sendHold(session);
      if (this.control.isStopped || session.closed) break;
      const leastPause = session.isDiscardDue ? discardPauseMs : 0;
      const pauseMs = Math.max(pause, leastPause);
      if (pauseMs > 0) await this.#pause(session, pauseMs);
    }
    this.#resumeBySession.delete(session);
  }

  /** Ends the pause before an endpoint's next hold, if there is one. */
  holdNow(session: EndpointSession): void {
    this.#resumeBySession.get(session)?.();
  }

  /** Ends the pauses of all loops. */
  holdAllNow(): void {
    for (const resume of this.#resumeBySession.values()) resume();
  }

  /**
   * Sends one hold and processes its answer; returns the pause until the next,
   * in ms.
   */
  async #sendHold(session: EndpointSession): Promise<number> {
    const { orders, lease, clock } = this.deps;
    const sentAt = clock.now();
    // The lease of an endpoint that does not answer is not extended: otherwise
    // each hold would delay the time after which nothing can run there.
    const extendsLease = lease.ageMs < maxCommitAgeForHoldMs && !session.silent;
    const leaseUntil = extendsLease
      ? session.lease.nextLeaseUntil(sentAt)
      : undefined;
    const isDiscard = session.mayDiscard;
    const order = {
      term: lease.term,
      recordedSeq: isDiscard ? session.recordedEndSeq : 0,
      ...(leaseUntil !== undefined && { leaseUntil }),
      waitMs: extendsLease && !isDiscard ? this.#holdWaitMs(session) : 0,
    };
    const outcome = isDiscard
      ? await this.discards.send(session, order)
      : await orders.hold(session.endpoint, order);
    if (this.control.isStopped || session.closed) return 0;
    if (outcome.kind === "lists") {
      return await this.#handleLists(session, outcome.lists, sentAt);
    }
    return this.#handleHoldFailure(session, outcome);
  }

  /**
   * How long the endpoint may wait before it answers, in ms. The first hold of
   * a term asks for an answer at once, so that the running tasks are soon known
   * and their leases extended. Without runs there is no end to wait for.
   */
  #holdWaitMs(session: EndpointSession): number {
    if (!session.fenced || session.runs.size === 0) return 0;
    const isShort = isStartingUp(session, this.deps.clock.now()) ||
      hasDoubtfulRun(session);
    return isShort ? shortHoldWaitMs : holdWaitMs;
  }

  /** Logs a failed hold and acts on its reason; returns the pause, in ms. */
  #handleHoldFailure(
    session: EndpointSession,
    outcome: Exclude<HoldOutcome, { kind: "lists" }>,
  ): number {
    const { clock, log, shard } = this.deps;
    const now = clock.now();
    session.recordNoAnswer(now);
    const reason = outcome.kind === "rejected"
      ? outcome.reason
      : outcome.message;
    log.decision("hold-failed", {
      shard,
      endpoint: session.endpoint.id,
      reason,
      isDiscardDue: session.isDiscardDue,
      runs: session.runs.size,
      leaseLeftMs: Math.round(session.lease.bound.endsBy - now),
    });
    if (reason === "fenced") this.deps.onOwnerFenced();
    else if (reason === "other-life" && session.hasAnswered) {
      this.control.endSession(session, reason);
    } else this.endExpiredRuns(session, now);
    return holdRetryPauseMs;
  }

  /**
   * Ends the runs of a silent endpoint that can't be in progress any more. Once
   * its own lease is over it must confirm this term again before it gets tasks.
   */
  endExpiredRuns(session: EndpointSession, now: number): void {
    const { bound } = session.lease;
    if (!session.silent || now <= bound.endsBy) return;
    session.fencedAt = undefined;
    for (const run of [...session.runs.values()]) {
      if (run.phase === "intended" || now <= runEndsBy(run, bound)) continue;
      this.control.finishRun(session, run, "lost", "lease over");
    }
  }

  /**
   * Processes the answer of a hold; returns the pause until the next, in ms.
   */
  async #handleLists(
    session: EndpointSession,
    lists: EndpointLists,
    sentAt: number,
  ): Promise<number> {
    const now = this.deps.clock.now();
    if (lists.life !== session.endpoint.life) {
      this.control.replaceIncarnation(session);
      return holdRetryPauseMs;
    }
    session.lease.recordClock(lists.clockMs, now);
    session.recordAnswer(sentAt, now);
    this.discards.unconfirmed.noteAnswer(session.endpoint, now);
    this.#reconcile(session, lists, sentAt, now);
    this.runOrders.adjustFillerPace(session);
    if (!session.fenced) {
      session.fencedAt = now;
      this.deps.onCapacityChange();
    }
    const lastSeq = lists.ended.at(-1)?.seq;
    if (lastSeq !== undefined) await this.#awaitRecorded(session, lastSeq);
    return session.runs.size > 0 || lastSeq !== undefined ? 0 : idleHoldPauseMs;
  }

  /** Brings the tracked runs in line with the endpoint's lists. */
  #reconcile(
    session: EndpointSession,
    lists: EndpointLists,
    sentAt: number,
    now: number,
  ): void {
    const result = session.compareLists(lists, sentAt, now);
    for (const run of result.confirmed) {
      this.deps.onRunConfirmed(run);
      // An earlier owner may have started it for a job that is now final.
      if (!this.deps.mayStart(run)) {
        this.runOrders.stop(session, run, "unwanted");
      }
    }
    if (session.mayHideEnds) this.control.stopEndingRuns(session);
    for (const end of result.ended) this.#handleEnd(session, end);
    for (const run of result.absent) {
      this.control.noteSettledStart(session, run);
      this.control.finishRun(
        session,
        run,
        "not-started",
        "absent after a stop",
      );
    }
    for (const run of result.unresolved) {
      if (isListed(run)) this.#handleMissingEnd(session, run);
      this.runOrders.stop(session, run, "not listed");
    }
    for (const listed of result.foreign) {
      if (this.control.adoptListedRun(session, listed)) continue;
      this.runOrders.stopForeignRun(session, listed.task, listed.run);
    }
  }

  /**
   * Sets an endpoint aside that has listed a run as running, and now lists neither
   * it nor its end: it discards ends unread.
   */
  #handleMissingEnd(session: EndpointSession, run: Run): void {
    const { lastSeenEndSeq, recordedEndSeq, endpoint } = session;
    const logFields = { life: endpoint.life, lastSeenEndSeq, recordedEndSeq };
    logRunDecision(
      this.deps,
      "end-missing",
      session,
      run,
      "not listed",
      logFields,
    );
    this.discards.unconfirmed.noteForeignDiscard(endpoint);
    this.control.setAside(session, "an end is missing");
  }

  /** Processes the end of a run, and updates its endpoint's failure history. */
  #handleEnd(session: EndpointSession, ended: EndedTask): void {
    const { task, run: runNumber, end, checkpoint } = ended;
    const run = session.find(task, runNumber);
    const now = this.deps.clock.now();
    if (run !== undefined) {
      if (end === "done") session.failures = noFailures;
      if (end === "failed") {
        session.failures = withFailure(session.failures, run.job, now);
      }
      this.control.finishRun(session, run, end, "listed", checkpoint);
      return;
    }
    const parsed = parseTaskName(task);
    if (parsed === undefined) return;
    const { job, ref } = parsed;
    this.#logUntrackedEnd(session, ended);
    this.deps.onUntrackedRunEnded(job, ref, runNumber, end, checkpoint);
  }

  /** Logs the end of a run that the session does not track. */
  #logUntrackedEnd(session: EndpointSession, ended: EndedTask): void {
    const { log, shard, lease } = this.deps;
    const { task, run, end } = ended;
    const { id, life } = session.endpoint;
    const trackedRun = session.runs.get(task)?.run;
    log.decision("untracked-run-ended", {
      shard,
      term: lease.term,
      task,
      run,
      end,
      endpoint: id,
      life,
      trackedRun,
    });
  }

  /**
   * Waits until the ends up to `seq` are committed, at most {@link holdWaitMs}.
   * A hold then tells the endpoint which ends are committed, so that it may
   * discard them.
   */
  async #awaitRecorded(session: EndpointSession, seq: number): Promise<void> {
    const committed = new Promise<void>((resolve) => {
      this.deps.whenCommitted(() => {
        session.recordedEndSeq = Math.max(session.recordedEndSeq, seq);
        resolve();
      });
    });
    // Without the timeout, leases would expire while the store is unavailable.
    await Promise.race([committed, delay(this.deps.clock, holdWaitMs)]);
  }

  /** Waits for `ms`, or until the pause is ended by {@link holdNow}. */
  #pause(session: EndpointSession, ms: number): Promise<void> {
    return new Promise((resolve) => {
      const resume = () => {
        cancel();
        this.#resumeBySession.delete(session);
        resolve();
      };
      const cancel = this.deps.clock.after(ms, resume);
      this.#resumeBySession.set(session, resume);
    });
  }
}
