/** Keeps the list of a shard's jobs that are put off in favour of others. */
import type { Clock } from "../clock/index.ts";
import type { DecisionLog } from "./decision_log.ts";
import { type EndpointSession, roomForJobs } from "./endpoint_session.ts";
import { jobsToPutOff } from "./feasible.ts";
import type { BookedJob } from "./job_book.ts";
import { collectDueWork, occurrenceKey } from "./job_rank.ts";
import type { RunTimes } from "./run_times.ts";

/** Least time between two decisions, in ms. */
const minDecisionIntervalMs = 60;

/** The same for each job that is not done, in ms. */
const decisionIntervalPerJobMs = 0.2;

/** Jobs that are remembered as told before those that ended are forgotten. */
const maxLoggedKeys = 2_000;

/** What the list is worked out from. */
export interface DeferredJobsParts {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly times: RunTimes;
}

/** The jobs of one shard that are put off. */
export class DeferredJobs {
  #deferredKeys: ReadonlySet<string> = new Set();
  #decidedAt = -Infinity;
  /** Those whose putting off was told, until they end. */
  readonly #logged = new Set<string>();

  constructor(private readonly parts: DeferredJobsParts) {}

  /** Keys of the occurrences that are put off; decided anew when it is time. */
  current(
    jobs: readonly BookedJob[],
    sessions: readonly EndpointSession[],
  ): ReadonlySet<string> {
    const { clock, times } = this.parts;
    const now = clock.now();
    const intervalMs = Math.max(
      minDecisionIntervalMs,
      jobs.length * decisionIntervalPerJobMs,
    );
    if (now - this.#decidedAt < intervalMs) return this.#deferredKeys;
    this.#decidedAt = now;
    const dueWork = collectDueWork(jobs, clock.wall(), times);
    const cpuMillis = sessions.reduce(
      (sum, each) => sum + roomForJobs(each),
      0,
    );
    const keys = jobsToPutOff(dueWork, cpuMillis, clock.wall());
    this.#logNew(keys, dueWork.length, cpuMillis);
    if (this.#logged.size > maxLoggedKeys) this.#forgetEnded(jobs);
    this.#deferredKeys = keys;
    return keys;
  }

  /** Tells each job once: near the limit they come and go all the time. */
  #logNew(keys: ReadonlySet<string>, due: number, cpuMillis: number): void {
    const { shard, log } = this.parts;
    for (const job of keys) {
      if (this.#logged.has(job)) continue;
      this.#logged.add(job);
      log.decision("job-put-off", { job, shard, due, cpuMillis });
    }
  }

  #forgetEnded(jobs: readonly BookedJob[]): void {
    const open = new Set(
      jobs.flatMap(({ spec, progress }) =>
        [...progress.open.keys()].map((k) => occurrenceKey(spec.id, k))
      ),
    );
    for (const id of this.#logged) if (!open.has(id)) this.#logged.delete(id);
  }
}
