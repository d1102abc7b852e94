/** Keeps the list of a shard's jobs that are put off in favour of others. */
import type { Clock } from "../clock/index.ts";
import type { DecisionLog } from "./decision_log.ts";
import { type EndpointSession, roomForJobs } from "./endpoint_session.ts";
import { jobsToPutOff } from "./feasible.ts";
import type { BookedJob } from "./job_book.ts";
import { dueWork } from "./job_rank.ts";
import type { RunTimes } from "./run_times.ts";

/** Least time between two decisions, in ms. */
const periodMs = 60;

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

  constructor(private readonly parts: PutOffParts) {}

  /** Keys of the occurrences that are put off; decided anew when it is time. */
  current(
    jobs: readonly BookedJob[],
    sessions: readonly EndpointSession[],
  ): ReadonlySet<string> {
    const { clock, times } = this.parts;
    const now = clock.now();
    if (now - this.#decidedAt < periodMs) return this.#keys;
    this.#decidedAt = now;
    const work = dueWork(jobs, clock.wall(), times);
    const room = sessions.reduce((sum, each) => sum + roomForJobs(each), 0);
    const keys = jobsToPutOff(work, room, clock.wall());
    this.#tell(keys, work.length, room);
    this.#keys = keys;
    return keys;
  }

  #tell(keys: ReadonlySet<string>, due: number, cpuMillis: number): void {
    const { shard, log } = this.parts;
    for (const job of keys) {
      if (this.#keys.has(job)) continue;
      log.decision("job-put-off", { job, shard, due, cpuMillis });
    }
  }
}
