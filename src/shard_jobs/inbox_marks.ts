/**
 * Removes the rows of a shard's inbox that belong to none of its jobs once they
 * have served their purpose.
 *
 * A cancellation of an unknown job is kept for as long as its submission may
 * still be stored. A forward to another pool's inbox is kept for as long as the
 * job there.
 */
import {
  cancelKey,
  forwardedTo,
  inboxKey,
  jobOfCancelKey,
  singleKeyRange,
} from "../batch/index.ts";
import type { Clock } from "../clock/index.ts";
import type {
  RowCheck,
  Store,
  StoreRow,
  StoreRowChange,
} from "../store/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import { removalBatches } from "./removal_batches.ts";

/**
 * Time for which a cancellation of an unknown job is kept, in ms. It covers a
 * caller's attempts to submit the job, and a write that the store performs late.
 */
const cancellationLifetimeMs = 60_000;

/** Time after which the job that a forward leads to is looked up, in ms. */
const forwardCheckMs = 150_000;

/** Minimum time between two removals, in ms. */
const minRemovalIntervalMs = 5_000;

/** Most cancellations in one transaction; each takes two checks and a remove. */
const maxPerRemoval = 33;

/** A row that may have to be removed. */
interface Mark {
  readonly row: StoreRow;
  /** Id of the job that it is about. */
  readonly job: string;
  /** Pool that a forward leads to; undefined for a cancellation. */
  readonly target: string | undefined;
  /** Monotonic time since which it has been known, in ms. */
  readonly since: number;
}

/** Dependencies of an {@link InboxMarks}. */
export interface InboxMarksDependencies {
  readonly shard: string;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Whether the shard has a job, whose cancellation is removed with it. */
  readonly hasJob: (id: string) => boolean;
}

/** The row as a mark; undefined for a job. */
function toMark(row: StoreRow, now: number): Mark | undefined {
  const cancelled = jobOfCancelKey(row.key);
  const target = forwardedTo(row.value);
  if (cancelled === undefined && target === undefined) return undefined;
  const job = cancelled ?? row.key;
  return { row, job, target, since: now };
}

/** Marks of one shard's inbox; {@link pass} is called periodically. */
export class InboxMarks {
  /** By the key of their row. */
  #marks = new Map<string, Mark>();
  #isRemoving = false;
  #removedAt = -Infinity;

  constructor(private readonly deps: InboxMarksDependencies) {}

  /** Handles the whole inbox. */
  reset(rows: readonly StoreRow[], now: number): void {
    const known = this.#marks;
    this.#marks = new Map();
    for (const row of rows) {
      const mark = toMark(row, known.get(row.key)?.since ?? now);
      if (mark !== undefined) this.#marks.set(row.key, mark);
    }
  }

  /** Handles changes of the inbox. */
  apply(changes: readonly StoreRowChange[], now: number): void {
    for (const { kind, row } of changes) {
      const mark = kind === "put" ? toMark(row, now) : undefined;
      if (mark === undefined) this.#marks.delete(row.key);
      else this.#marks.set(row.key, mark);
    }
  }

  /** Starts to remove the marks that have expired at the monotonic time `now`. */
  pass(now: number): void {
    if (this.#isRemoving || now - this.#removedAt < minRemovalIntervalMs) {
      return;
    }
    const expired = [...this.#marks.values()].filter(({ since, target }) =>
      now - since > (target ? forwardCheckMs : cancellationLifetimeMs)
    );
    if (expired.length === 0) return;
    this.#isRemoving = true;
    this.#remove(expired);
  }

  async #remove(expired: readonly Mark[]): Promise<void> {
    const isOfJob = ({ job, target }: Mark) =>
      target === undefined && this.deps.hasJob(job);
    for (const { row } of expired.filter(isOfJob)) this.#marks.delete(row.key);
    const unused = await this.#withoutJob(expired.filter((m) => !isOfJob(m)));
    const batches = removalBatches(
      unused,
      ({ row }) => row.partition,
      maxPerRemoval,
    );
    for (const batch of batches) await this.#removeBatch(batch);
    this.#removedAt = this.deps.clock.now();
    this.#isRemoving = false;
  }

  /** The cancellations, and the forwards whose job is gone. */
  async #withoutJob(marks: readonly Mark[]): Promise<readonly Mark[]> {
    const unused: Mark[] = [];
    for (const mark of marks) {
      const isUnused = mark.target === undefined ||
        await this.#isAbsent(mark.target, mark.job);
      if (isUnused) unused.push(mark);
      else this.#keep(mark);
    }
    return unused;
  }

  /** Whether a pool's inbox is known not to hold a job. */
  async #isAbsent(pool: string, job: string): Promise<boolean> {
    const query = singleKeyRange(inboxKey(pool, job));
    const read = await this.deps.store.range(query);
    return read.ok && read.val.rows.length === 0;
  }

  /** Removes marks of one partition; keeps them all if one has changed. */
  async #removeBatch(marks: readonly Mark[]): Promise<void> {
    const { shard, store, log } = this.deps;
    const checks = marks.flatMap(({ row, job, target }): RowCheck[] => {
      const check: RowCheck = row;
      if (target !== undefined) return [check];
      return [check, { ...inboxKey(shard, job), version: 0 }];
    });
    const removes = marks.map(({ job, target }) =>
      target === undefined ? cancelKey(shard, job) : inboxKey(shard, job)
    );
    const outcome = await store.commit({ checks, puts: [], removes });
    const isRemoved = outcome.ok && outcome.val.kind === "committed";
    log.decision("marks-expired", {
      shard,
      marks: marks.length,
      outcome: outcome.val.kind,
    });
    for (const mark of marks) {
      if (isRemoved) this.#marks.delete(mark.row.key);
      else this.#keep(mark);
    }
  }

  /** Keeps a mark for another lifetime. */
  #keep(mark: Mark): void {
    const isCurrent = this.#marks.get(mark.row.key) === mark;
    const since = this.deps.clock.now();
    if (isCurrent) this.#marks.set(mark.row.key, { ...mark, since });
  }
}
