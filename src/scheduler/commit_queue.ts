/**
 * Group commit of one shard: while a transaction is on its way the next batch
 * gathers. What depends on a batch happens only after the store confirmed it.
 */
import { type Clock, delay } from "../clock/index.ts";
import type { CommitFailure, ShardLease } from "../cluster/index.ts";
import {
  maxTransactionEntries,
  type RowKey,
  type RowPut,
} from "../store/index.ts";

/** Least time between the starts of two transactions, in ms. */
const minSpacingMs = 15;

/** Pause after a transaction that failed, in ms. */
const failurePauseMs = 100;

/** Entries of a transaction that the lease itself needs. */
const leaseEntries = 2;

const maxRows = maxTransactionEntries - leaseEntries;

/** Source of the rows of a batch. */
export interface CommitSource {
  /** Keys of rows that differ from the store; taken by reference. */
  readonly dirty: Set<string>;
  /** The row to write for a key. */
  put(key: string): RowPut | undefined;
}

/** Commits a shard's rows one batch at a time. */
export class CommitQueue {
  #after: (() => void)[] = [];
  #extraPuts = new Map<string, RowPut>();
  #removes = new Map<string, RowKey>();
  #isRunning = false;
  #isStopped = false;
  #current: Promise<void> = Promise.resolve();

  constructor(
    private readonly lease: ShardLease,
    private readonly clock: Clock,
    private readonly source: CommitSource,
    private readonly failed: (failure: CommitFailure) => void,
  ) {}

  /** Stops after the transaction on its way. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Stops, and waits for the transaction on its way. */
  async drain(): Promise<void> {
    this.#isStopped = true;
    await this.#current;
  }

  /** Calls `action` once all that is dirty now has been committed. */
  then(action: () => void): void {
    this.#after.push(action);
    this.flush();
  }

  /** Writes a further row with the next batch. */
  put(row: RowPut): void {
    this.#extraPuts.set(`${row.table}\n${row.key}`, row);
    this.flush();
  }

  /** Removes a row with the next batch. */
  remove(row: RowKey): void {
    this.#removes.set(`${row.table}\n${row.key}`, row);
    this.flush();
  }

  /** Starts to commit; also renews the lease when nothing is dirty. */
  flush(): void {
    if (this.#isRunning || this.#isStopped) return;
    this.#isRunning = true;
    this.#current = this.#run().finally(() => {
      this.#isRunning = false;
      if (this.#hasWork()) this.flush();
    });
  }

  #hasWork(): boolean {
    return this.source.dirty.size > 0 || this.#after.length > 0 ||
      this.#extraPuts.size > 0 || this.#removes.size > 0;
  }

  async #run(): Promise<void> {
    // Lets the changes of the same turn join the batch.
    await Promise.resolve();
    do {
      const startedAt = this.clock.now();
      const ok = await this.#commitBatch();
      if (this.#isStopped) return;
      const spent = this.clock.now() - startedAt;
      const pause = ok ? minSpacingMs - spent : failurePauseMs;
      if (pause > 0) await delay(this.clock, pause);
    } while (this.#hasWork() && !this.#isStopped);
  }

  async #commitBatch(): Promise<boolean> {
    const { source } = this;
    const keys = [...source.dirty].slice(0, maxRows);
    const room = maxRows - keys.length;
    const extra = [...this.#extraPuts.values()].slice(0, room);
    const removes = [...this.#removes.values()].slice(0, room - extra.length);
    const isWhole = keys.length === source.dirty.size;
    const after = isWhole ? this.#after : [];
    if (isWhole) this.#after = [];
    for (const key of keys) source.dirty.delete(key);
    const puts = keys.map((key) => source.put(key)).filter((p) => !!p);
    const done = await this.lease.commit([...puts, ...extra], removes);
    if (done.err) {
      for (const key of keys) source.dirty.add(key);
      this.#after = [...after, ...this.#after];
      this.failed(done.val);
      return false;
    }
    this.#forget(extra, removes);
    for (const action of after) action();
    return true;
  }

  #forget(puts: readonly RowPut[], removes: readonly RowKey[]): void {
    for (const row of puts) {
      const key = `${row.table}\n${row.key}`;
      if (this.#extraPuts.get(key) === row) this.#extraPuts.delete(key);
    }
    for (const row of removes) {
      const key = `${row.table}\n${row.key}`;
      if (this.#removes.get(key) === row) this.#removes.delete(key);
    }
  }
}
