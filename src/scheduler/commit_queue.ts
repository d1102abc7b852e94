/**
 * Group commit of one shard: changes made while a transaction is in flight
 * are collected into the next batch. Actions that depend on a change run only
 * after the store has confirmed it.
 */
import { Buffer } from "node:buffer";
import { type Clock, delay } from "../clock/index.ts";
import {
  type CommitFailure,
  leaseTransactionEntries,
  type ShardLease,
} from "../cluster/index.ts";
import {
  maxTransactionBytes,
  maxTransactionEntries,
  type RowPut,
  type StoreRowKey,
} from "../store/index.ts";

/** Minimum time between the starts of two transactions, in ms. */
const minCommitSpacingMs = 15;

/**
 * Added to the minimum spacing for each row of the previous transaction, in
 * ms. A job's row is written whole on every change, so under load fewer,
 * larger transactions save CPU time of the owner and bytes written to the
 * store.
 */
const commitSpacingPerRowMs = 0.3;

/** Pause after a failed transaction, in ms. */
const failurePauseMs = 100;

/**
 * Number of invalid batches in a row with a single row after which this row is
 * given up. An intermediary may answer a call wrongly.
 */
const minSoleRejections = 3;

/** Maximum number of rows of a batch; the lease uses the other entries. */
const maxRowsPerBatch = maxTransactionEntries - leaseTransactionEntries;

/** Callbacks of a {@link CommitQueue}. */
export interface CommitListener {
  /** A transaction has failed; its rows are committed again. */
  onFailure(failure: CommitFailure): void;
  /**
   * The store does not accept this row, which is given up. The queue has taken
   * its key out of the source's dirty set; actions that wait for the row wait
   * for what the listener makes dirty instead.
   */
  onRowRejected(row: StoreRowKey, bytes: number): void;
}

/** Source of the rows that a {@link CommitQueue} writes. */
export interface CommitSource {
  /**
   * Keys of rows that differ from the store, in the order in which they became
   * dirty. The queue removes the keys that it commits from this set, and adds
   * them again after a failure.
   */
  readonly dirty: Set<string>;
  /** The row to write for a key; undefined when there is nothing to write. */
  rowOf(key: string): RowPut | undefined;
}

/**
 * An action to run once the rows that were dirty when it was added are
 * committed.
 */
interface PendingAction {
  readonly action: () => void;
  /** Upper bound on the number of these rows that are not committed yet. */
  rowsLeft: number;
}

/** The rows of one transaction. */
interface Batch {
  /** Dirty keys of the source that this batch covers. */
  readonly keys: readonly string[];
  /** Rows of these keys. */
  readonly puts: readonly RowPut[];
  /** Rows that were added with {@link CommitQueue.put}. */
  readonly extraPuts: readonly RowPut[];
  readonly removes: readonly StoreRowKey[];
}

/** Size of a row's value, in bytes. */
function sizeOf({ value }: Pick<RowPut, "value">): number {
  return Buffer.byteLength(value);
}

/** Number of rows that a batch writes or removes. */
function rowCount({ puts, extraPuts, removes }: Batch): number {
  return puts.length + extraPuts.length + removes.length;
}

/** Adds keys to a set, in front of those that it has. */
function addInFront(set: Set<string>, keys: readonly string[]): void {
  const others = [...set];
  set.clear();
  for (const key of [...keys, ...others]) set.add(key);
}

/**
 * Commits a shard's rows one batch at a time, the longest dirty first. So an
 * action that waits for some rows is not delayed by rows that became dirty
 * later, however long the backlog is.
 *
 * A batch that the store does not accept is halved until the row at fault is
 * alone. That row is given up, so that it does not keep the others back, if the
 * store accepts a transaction without it.
 */
export class CommitQueue {
  #pending: PendingAction[] = [];
  /** Rows to put besides those of the source, by table and key. */
  #extraPuts = new Map<string, RowPut>();
  /** Rows to remove, by table and key. */
  #removes = new Map<string, StoreRowKey>();
  /** Maximum rows of the next batch; lowered to find a row that is at fault. */
  #maxRows = maxRowsPerBatch;
  /** Number of invalid batches in a row that had one row. */
  #soleRejections = 0;
  #isRunning = false;
  #isStopped = false;
  /** Settles when the commit loop that was started last has ended. */
  #loop: Promise<void> = Promise.resolve();

  constructor(
    private readonly lease: ShardLease,
    private readonly clock: Clock,
    private readonly source: CommitSource,
    private readonly listener: CommitListener,
  ) {}

  /** Starts no further transaction; one in flight is not cancelled. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Stops, and resolves once the transaction in flight has ended. */
  async drain(): Promise<void> {
    this.#isStopped = true;
    await this.#loop;
  }

  /** Calls `action` once all rows that are dirty now have been committed. */
  whenCommitted(action: () => void): void {
    this.#pending.push({ action, rowsLeft: this.source.dirty.size });
    this.flush();
  }

  /** Adds a row that is not part of the source to the next batch. */
  put(row: RowPut): void {
    this.#extraPuts.set(`${row.table}\n${row.key}`, row);
    this.flush();
  }

  /** Adds the removal of a row to the next batch. */
  remove(row: StoreRowKey): void {
    this.#removes.set(`${row.table}\n${row.key}`, row);
    this.flush();
  }

  /**
   * Starts the commit loop unless it is running or stopped. Commits at least
   * once, so that the lease is renewed also when no row is dirty.
   */
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
    // Lets changes that are made synchronously after this call join the batch.
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

  /**
   * Commits a batch; returns the number of its `puts`, undefined on failure.
   */
  async #commitBatch(): Promise<number | undefined> {
    const { dirty } = this.source;
    const batch = this.#takeBatch();
    const { keys, puts, extraPuts, removes } = batch;
    // Actions that are added while the commit is in flight wait for a later
    // one.
    const pending = this.#pending;
    this.#pending = [];
    const outcome = await this.lease.commit([...extraPuts, ...puts], removes);
    if (outcome.err) {
      addInFront(dirty, keys);
      this.#pending = [...pending, ...this.#pending];
      this.listener.onFailure(outcome.val);
      if (outcome.val.kind === "invalid") await this.#isolate(batch);
      for (const each of this.#pending) each.rowsLeft = dirty.size;
      return undefined;
    }
    this.#maxRows = Math.min(maxRowsPerBatch, 2 * this.#maxRows);
    this.#soleRejections = 0;
    this.#removeCommitted(extraPuts, removes);
    for (const each of pending) each.rowsLeft -= keys.length;
    const stillPending = pending.filter((each) => each.rowsLeft > 0);
    this.#pending = [...stillPending, ...this.#pending];
    for (const { action, rowsLeft } of pending) if (rowsLeft <= 0) action();
    return puts.length;
  }

  /**
   * Halves the next batch after one that was invalid. Gives a row up that has
   * been the only one of several such batches, unless the store does not accept
   * a transaction without it either: then the row is not at fault.
   */
  async #isolate(batch: Batch): Promise<void> {
    const count = rowCount(batch);
    this.#maxRows = Math.max(1, Math.floor(count / 2));
    this.#soleRejections = count === 1 ? this.#soleRejections + 1 : 0;
    if (this.#soleRejections < minSoleRejections) return;
    const withoutRow = await this.lease.commit([], []);
    if (withoutRow.ok) this.#giveUp(batch);
  }

  /** Gives up the rows of a batch. */
  #giveUp({ keys, puts, extraPuts, removes }: Batch): void {
    this.#soleRejections = 0;
    this.#removeCommitted(extraPuts, removes);
    for (const key of keys) this.source.dirty.delete(key);
    for (const row of [...puts, ...extraPuts]) {
      const { table, partition, key, value } = row;
      const bytes = sizeOf({ value });
      this.listener.onRowRejected({ table, partition, key }, bytes);
    }
    for (const row of removes) this.listener.onRowRejected(row, 0);
  }

  /**
   * Takes as many rows as fit into one transaction, and their keys out of the
   * dirty set. Always leaves room for one dirty row, even one that exceeds the
   * byte limit, so that the backlog makes progress.
   */
  #takeBatch(): Batch {
    const { source } = this;
    const maxRows = this.#maxRows;
    const extraPuts = [...this.#extraPuts.values()].slice(
      0,
      Math.max(1, maxRows - 1),
    );
    const keys: string[] = [];
    const puts: RowPut[] = [];
    let bytes = extraPuts.reduce((sum, row) => sum + sizeOf(row), 0);
    for (const key of source.dirty) {
      if (extraPuts.length + puts.length >= maxRows) break;
      const row = source.rowOf(key);
      const size = row === undefined ? 0 : sizeOf(row);
      if (puts.length > 0 && bytes + size > maxTransactionBytes) break;
      bytes += size;
      keys.push(key);
      if (row !== undefined) puts.push(row);
    }
    for (const key of keys) source.dirty.delete(key);
    const freeEntries = maxRows - extraPuts.length - puts.length;
    const removes = [...this.#removes.values()].slice(0, freeEntries);
    return { keys, puts, extraPuts, removes };
  }

  /** Drops committed rows, except those replaced since the commit began. */
  #removeCommitted(
    puts: readonly RowPut[],
    removes: readonly StoreRowKey[],
  ): void {
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
