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
const minSpacingMs = 15;

/**
 * Time by which that grows for each row of the transaction before, in ms. A
 * job's row is written whole at each change, so under load fewer, larger
 * transactions save the owner's processor and bytes at the store.
 */
const spacingPerRowMs = 0.3;

/** Pause after a transaction that failed, in ms. */
const failurePauseMs = 100;

const maxRows = maxTransactionEntries - leaseEntries;

/** Source of the rows of a batch. */
export interface CommitSource {
  /** Keys of rows that differ from the store; taken by reference. */
  readonly dirty: Set<string>;
  /** The row to write for a key. */
  put(key: string): RowPut | undefined;
}

/** An action that waits for rows that were dirty when it was given. */
interface Waiting {
  readonly action: () => void;
  /** How many of these rows may not be committed yet. */
  rows: number;
}

/** One transaction's worth of rows. */
interface Batch {
  /** Keys of the source whose rows are among `puts`. */
  readonly keys: readonly string[];
  readonly puts: readonly RowPut[];
  readonly extra: readonly RowPut[];
  readonly removes: readonly RowKey[];
}

/**
 * Commits a shard's rows one batch at a time, those first that have been
 * dirty longest. So what waits for some rows does not wait for others that
 * have become dirty since, however long the backlog is.
 */
export class CommitQueue {
  #after: Waiting[] = [];
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
    this.#after.push({ action, rows: this.source.dirty.size });
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
      const rows = await this.#commitBatch();
      if (this.#isStopped) return;
      const spent = this.clock.now() - startedAt;
      const pause = rows === undefined
        ? failurePauseMs
        : minSpacingMs + rows * spacingPerRowMs - spent;
      if (pause > 0) await delay(this.clock, pause);
    } while (this.#hasWork() && !this.#isStopped);
  }

  /** Commits a batch; returns its number of rows, undefined on a failure. */
  async #commitBatch(): Promise<number | undefined> {
    const { dirty } = this.source;
    const batch = this.#takeBatch();
    const { keys, puts, extra, removes } = batch;
    // What is given from here on waits for a later transaction.
    const waiting = this.#after;
    this.#after = [];
    const done = await this.lease.commit([...extra, ...puts], removes);
    if (done.err) {
      for (const key of keys) dirty.add(key);
      this.#after = [...waiting, ...this.#after];
      for (const each of this.#after) each.rows = dirty.size;
      this.failed(done.val);
      return undefined;
    }
    this.#forget(extra, removes);
    for (const each of waiting) each.rows -= keys.length;
    const late = waiting.filter((each) => each.rows > 0);
    this.#after = [...late, ...this.#after];
    for (const { action, rows } of waiting) if (rows <= 0) action();
    return puts.length;
  }

  /** As many rows as one transaction holds; at least one that is dirty. */
  #takeBatch(): Batch {
    const { source } = this;
    const extra = [...this.#extraPuts.values()].slice(0, maxRows - 1);
    const keys: string[] = [];
    const puts: RowPut[] = [];
    let bytes = 0;
    for (const key of source.dirty) {
      if (extra.length + puts.length >= maxRows) break;
      const row = source.put(key);
      const size = row === undefined ? 0 : Buffer.byteLength(row.value);
      if (puts.length > 0 && bytes + size > maxTransactionBytes) break;
      bytes += size;
      keys.push(key);
      if (row !== undefined) puts.push(row);
    }
    for (const key of keys) source.dirty.delete(key);
    const room = maxRows - extra.length - puts.length;
    const removes = [...this.#removes.values()].slice(0, room);
    return { keys, puts, extra, removes };
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
