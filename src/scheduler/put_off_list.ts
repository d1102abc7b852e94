/** Keeps the list of a shard's jobs that are put off in favour of others. */
import type { Clock } from "../clock/index.ts";
import type { DecisionLog } from "./decision_log.ts";
import { type EndpointSession, roomForJobs } from "./endpoint_session.ts";
import { jobsToPutOff } from "./feasible.ts";
import type { BookedJob } from "./job_book.ts";
import { dueWork, occurrenceKey } from "./job_rank.ts";
import type { RunTimes } from "./run_times.ts";

/** Least time between two decisions, in ms. */
const minPeriodMs = 60;

/** The same for each job that is not done, in ms. */
const periodPerJobMs = 0.2;

/** Jobs that are remembered as told before those that ended are forgotten. */
const maxTold = 2_000;

/** What the list is worked out from. */
export interface PutOffParts {
  readonly shard: string;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly times: RunTimes;
}

/** The jobs of one shard that are put off. */
export class PutOffList {
  #keys: ReadonlySet<string> = new Set();
  #decidedAt = -Infinity;
  /** Those whose putting off was told, until they end. */
  readonly #told = new Set<string>();

  constructor(private readonly parts: PutOffParts) {}

  /** Keys of the occurrences that are put off; decided anew when it is time. */
  current(
    jobs: readonly BookedJob[],
    sessions: readonly EndpointSession[],
  ): ReadonlySet<string> {
    const { clock, times } = this.parts;
    const now = clock.now();
    const period = Math.max(minPeriodMs, jobs.length * periodPerJobMs);
    if (now - this.#decidedAt < period) return this.#keys;
    this.#decidedAt = now;
    const work = dueWork(jobs, clock.wall(), times);
    const room = sessions.reduce((sum, each) => sum + roomForJobs(each), 0);
    const keys = jobsToPutOff(work, room, clock.wall());
    this.#tell(keys, work.length, room);
    if (this.#told.size > maxTold) this.#forgetEnded(jobs);
    this.#keys = keys;
    return keys;
  }

  /** Tells each job once: near the limit they come and go all the time. */
  #tell(keys: ReadonlySet<string>, due: number, cpuMillis: number): void {
    const { shard, log } = this.parts;
    for (const job of keys) {
      if (this.#told.has(job)) continue;
      this.#told.add(job);
      log.decision("job-put-off", { job, shard, due, cpuMillis });
    }
  }

  #forgetEnded(jobs: readonly BookedJob[]): void {
    const open = new Set(
      jobs.flatMap(({ spec, progress }) =>
        [...progress.open.keys()].map((k) => occurrenceKey(spec.id, k))
      ),
    );
    for (const key of this.#told) if (!open.has(key)) this.#told.delete(key);
  }
}
