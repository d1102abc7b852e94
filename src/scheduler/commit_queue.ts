/**
 * Group commit of one shard: while a transaction is on its way the next batch
 * gathers. What depends on a batch happens only after the store confirmed it.
 */
import { Buffer } from "node:buffer";
import { type Clock, delay } from "../clock/index.ts";
import {
  type CommitFailure,
  leaseEntries,
  type ShardLease,
} from "../cluster/index.ts";
import {
  maxTransactionBytes,
  maxTransactionEntries,
  type RowKey,
  type RowPut,
} from "../store/index.ts";

/** Least time between the starts of two transactions, in ms. */
const minCommitSpacingMs = 15;

/**
 * Time by which that grows for each row of the transaction before, in ms. A
 * job's row is written whole at each change, so under load fewer, larger
 * transactions save the owner's processor and bytes at the store.
 */
const commitSpacingPerRowMs = 0.3;

/** Pause after a transaction that failed, in ms. */
const failurePauseMs = 100;

const maxRowsPerBatch = maxTransactionEntries - leaseEntries;

/** Source of the rows of a batch. */
export interface CommitSource {
  /** Keys of rows that differ from the store; taken by reference. */
  readonly dirty: Set<string>;
  /** The row to write for a key. */
  rowOf(key: string): RowPut | undefined;
}

/** An action that waits for rows that were dirty when it was given. */
interface PendingAction {
  readonly action: () => void;
  /** How many of these rows may not be committed yet. */
  rowsLeft: number;
}

/** One transaction's worth of rows. */
interface Batch {
  /** Keys of the source whose rows are among `puts`. */
  readonly keys: readonly string[];
  readonly puts: readonly RowPut[];
  readonly extraPuts: readonly RowPut[];
  readonly removes: readonly RowKey[];
}

/**
 * Commits a shard's rows one batch at a time, those first that have been
 * dirty longest. So what waits for some rows does not wait for others that
 * have become dirty since, however long the backlog is.
 */
export class CommitQueue {
  #pending: PendingAction[] = [];
  #extraPuts = new Map<string, RowPut>();
  #removes = new Map<string, RowKey>();
  #isRunning = false;
  #isStopped = false;
  #loop: Promise<void> = Promise.resolve();

  constructor(
    private readonly lease: ShardLease,
    private readonly clock: Clock,
    private readonly source: CommitSource,
    private readonly onFailure: (failure: CommitFailure) => void,
  ) {}

  /** Stops after the transaction on its way. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Stops, and waits for the transaction on its way. */
  async drain(): Promise<void> {
    this.#isStopped = true;
    await this.#loop;
  }

  /** Calls `action` once all that is dirty now has been committed. */
  then(action: () => void): void {
    this.#pending.push({ action, rowsLeft: this.source.dirty.size });
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
    this.#loop = this.#commitLoop().finally(() => {
      this.#isRunning = false;
      if (this.#hasWork()) this.flush();
    });
  }

  #hasWork(): boolean {
    return this.source.dirty.size > 0 || this.#pending.length > 0 ||
      this.#extraPuts.size > 0 || this.#removes.size > 0;
  }

  async #commitLoop(): Promise<void> {
    // Lets the changes of the same turn join the batch.
    await Promise.resolve();
    do {
      const startedAt = this.clock.now();
      const rows = await this.#commitBatch();
      if (this.#isStopped) return;
      const elapsed = this.clock.now() - startedAt;
      const pause = rows === undefined
        ? failurePauseMs
        : minCommitSpacingMs + rows * commitSpacingPerRowMs - elapsed;
      if (pause > 0) await delay(this.clock, pause);
    } while (this.#hasWork() && !this.#isStopped);
  }

  /** Commits a batch; returns its number of rows, undefined on a failure. */
  async #commitBatch(): Promise<number | undefined> {
    const { dirty } = this.source;
    const batch = this.#takeBatch();
    const { keys, puts, extraPuts, removes } = batch;
    // What is given from here on waits for a later transaction.
    const pending = this.#pending;
    this.#pending = [];
    const outcome = await this.lease.commit([...extraPuts, ...puts], removes);
    if (outcome.err) {
      for (const key of keys) dirty.add(key);
      this.#pending = [...pending, ...this.#pending];
      for (const each of this.#pending) each.rowsLeft = dirty.size;
      this.onFailure(outcome.val);
      return undefined;
    }
    this.#removeCommitted(extraPuts, removes);
    for (const each of pending) each.rowsLeft -= keys.length;
    const stillPending = pending.filter((each) => each.rowsLeft > 0);
    this.#pending = [...stillPending, ...this.#pending];
    for (const { action, rowsLeft } of pending) if (rowsLeft <= 0) action();
    return puts.length;
  }

  /** As many rows as one transaction holds; at least one that is dirty. */
  #takeBatch(): Batch {
    const { source } = this;
    const extraPuts = [...this.#extraPuts.values()].slice(
      0,
      maxRowsPerBatch - 1,
    );
    const keys: string[] = [];
    const puts: RowPut[] = [];
    let bytes = 0;
    for (const key of source.dirty) {
      if (extraPuts.length + puts.length >= maxRowsPerBatch) break;
      const row = source.rowOf(key);
      const size = row === undefined ? 0 : Buffer.byteLength(row.value);
      if (puts.length > 0 && bytes + size > maxTransactionBytes) break;
      bytes += size;
      keys.push(key);
      if (row !== undefined) puts.push(row);
    }
    for (const key of keys) source.dirty.delete(key);
    const freeEntries = maxRowsPerBatch - extraPuts.length - puts.length;
    const removes = [...this.#removes.values()].slice(0, freeEntries);
    return { keys, puts, extraPuts, removes };
  }

  #removeCommitted(puts: readonly RowPut[], removes: readonly RowKey[]): void {
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
