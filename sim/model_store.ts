/**
 * In-memory model of the row store. It is linearizable and simulates delays,
 * outages for some or all processes or of some partitions, commits whose answer
 * is lost or that take effect late, and dropped change history.
 */
import { Buffer } from "node:buffer";
import { Err, Ok, type Result } from "ts-results";
import {
  type FeedResult,
  type RangeQuery,
  RangeReader,
  type RowPage,
  type Store,
  type StoreCommitOutcome,
  type StoreFailure,
  type StoreRow,
  type StoreRowChange,
  type StoreRowKey,
  type StoreTransaction,
} from "../src/store/index.ts";
import type { ModelLink } from "./model_link.ts";
import type { ProcessClock, VirtualClock } from "./virtual_clock.ts";

/** Network delay of a call or of its answer, in ms. */
const oneWayDelayMs = 2;

/** Time that the store takes for a transaction, in ms. */
const commitDurationMs = 5;

/** Timeout of a call, in ms. */
const callTimeoutMs = 1_800;

/** Time that a feed's answer may take beyond its wait, in ms. */
const feedTimeoutMs = 900;

/** Bytes of a call or an answer besides the rows, and of a row besides its value. */
const overheadBytes = 200;

/** Time for which the store keeps the history of changes, in ms. */
const historyMs = 20_000;

/** Longest delay until an unanswered commit takes effect, in ms. */
const maxLateDelayMs = 5_000;

/** Maximum entries (checks, puts and removes) of one transaction. */
const maxEntries = 100;

/** Maximum size of a row's value, in bytes. */
const maxRowBytes = 65_536;

/** Maximum total size of a transaction's values in base64, in bytes. */
const maxBase64Bytes = 1_000_000;

/**
 * How the store treats the calls of a process: it `serves` them, `refuses`
 * them for now, `rejects` them as invalid, or stays `silent` until they time out.
 */
export type StoreBehavior = "serves" | "refuses" | "rejects" | "silent";

function rowAddress({ table, partition, key }: StoreRowKey): string {
  return `${table}\n${partition}\n${key}`;
}

/** Why the store does not accept a transaction; undefined if it does. */
function rejectionOf(
  { checks, puts, removes }: StoreTransaction,
): string | undefined {
  const sizes = puts.map((put) => Buffer.byteLength(put.value));
  const total = sizes.reduce((sum, size) => sum + size, 0);
  const keys = [...checks, ...puts, ...removes];
  if (keys.length > maxEntries) return `${keys.length} entries`;
  const partitions = new Set(keys.map(({ partition }) => partition));
  if (partitions.size > 1) return `rows of ${partitions.size} partitions`;
  if (total * 4 / 3 > maxBase64Bytes) return `${total} bytes`;
  const largest = Math.max(0, ...sizes);
  return largest > maxRowBytes ? `a row of ${largest} bytes` : undefined;
}

/** Sizes of a call's request and answer besides their overhead, in bytes. */
interface CallSizes<T> {
  readonly request: number;
  answerOf(answer: T): number;
}

/** Bytes of rows on the wire, where values are in base64. */
function bytesOf(rows: readonly { readonly value: string }[]): number {
  return rows.reduce(
    (sum, { value }) => sum + overheadBytes + Buffer.byteLength(value) * 4 / 3,
    0,
  );
}

/** Failure of a call that the store turns away for now. */
const unavailable: StoreFailure = { kind: "refused", message: "status 503" };

/** A change in the history. */
interface StoredChange {
  readonly version: number;
  /** Time of the change, in ms. */
  readonly at: number;
  readonly change: StoreRowChange;
}

/** The store that all processes share. */
export class ModelStore {
  readonly #rows = new Map<string, StoreRow>();
  #history: StoredChange[] = [];
  #version = 0;
  /** Version up to which the history was dropped. */
  #compactedVersion = 0;
  /** Callbacks that wake the feeds that wait for a change. */
  readonly #pendingFeeds = new Set<() => void>();
  /** How the store treats the calls of each entry; unset means `serves`. */
  readonly #behaviors = new Map<string, StoreBehavior>();
  /** Share of commits that get no answer; half of them are applied late. */
  lostAnswerShare = 0;
  /** Factor by which all delays are multiplied. */
  delayFactor = 1;

  /** Whether the calls to a partition are refused; unset if none are. */
  #isPartitionDown: ((partition: string) => boolean) | undefined;
  /** Number of rows put, by table. */
  readonly #putCounts = new Map<string, number>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: () => number,
  ) {}

  /** Sets how the store treats an entry's calls. */
  setBehavior(entry: string, behavior: StoreBehavior): void {
    this.#behaviors.set(entry, behavior);
  }

  /** Whether it serves an entry. */
  serves(entry: string): boolean {
    return (this.#behaviors.get(entry) ?? "serves") === "serves";
  }

  /** Whether it serves all entries at its usual pace. */
  get isUndisturbed(): boolean {
    const serves = [...this.#behaviors.values()]
      .every((each) => each === "serves");
    return serves && this.#isPartitionDown === undefined &&
      this.delayFactor === 1 && this.lostAnswerShare === 0;
  }

  /** Makes partitions unavailable; undefined makes all of them available. */
  setPartitionsDown(
    isDown: ((partition: string) => boolean) | undefined,
  ): void {
    this.#isPartitionDown = isDown;
  }

  /** Drops the change history; feeds from older versions fail as expired. */
  compact(): void {
    this.#history = [];
    this.#compactedVersion = this.#version;
  }

  /** Number of puts to a table so far; a row put twice counts twice. */
  putCount(table: string): number {
    return this.#putCounts.get(table) ?? 0;
  }

  /** All rows of a table. */
  table(name: string): readonly StoreRow[] {
    return [...this.#rows.values()].filter((row) => row.table === name);
  }

  /**
   * Writes a row without checks or delay, as the operator or an endpoint does;
   * undefined removes it.
   */
  write(row: StoreRowKey, value: string | undefined): void {
    this.#apply({
      checks: [],
      puts: value === undefined ? [] : [{ ...row, value }],
      removes: value === undefined ? [row] : [],
    });
  }

  /**
   * Client of the store for one process. With a link, calls and answers take the
   * time that their bytes need there, and calls have timeouts.
   */
  connect(entry: string, process: ProcessClock, link?: ModelLink): Store {
    const call = <T>(
      operation: () => Promise<Result<T, StoreFailure>>,
      sizes: CallSizes<T>,
      timeoutMs: number,
    ) => {
      const outcome = link === undefined
        ? this.#call(entry, operation)
        : this.#callOverLink(entry, operation, link, sizes, timeoutMs);
      return process.deliver(outcome);
    };
    const ranges = new RangeReader(
      (query, maxRows) =>
        call(
          () => this.#readPage(query, maxRows),
          { request: 0, answerOf: ({ rows }) => bytesOf(rows) },
          callTimeoutMs,
        ),
      () => process.now(),
    );
    return {
      commit: (tx) =>
        call(
          () => this.#commit(tx),
          { request: bytesOf(tx.puts), answerOf: () => 0 },
          callTimeoutMs,
        ),
      range: (query) => ranges.read(query),
      feed: (table, after, waitMs) =>
        call(
          () => this.#feed(table, after, waitMs),
          {
            request: 0,
            answerOf: ({ changes }) =>
              bytesOf(
                changes.map(({ kind, row }) =>
                  kind === "put" ? row : { value: "" }
                ),
              ),
          },
          waitMs + feedTimeoutMs,
        ),
    };
  }

  /** Makes a call whose request and answer pass a link; it has a timeout. */
  #callOverLink<T>(
    entry: string,
    operation: () => Promise<Result<T, StoreFailure>>,
    link: ModelLink,
    sizes: CallSizes<T>,
    timeoutMs: number,
  ): Promise<Result<T, StoreFailure>> {
    return new Promise((resolve) => {
      let isOver = false;
      let withdraw = () => {};
      const settle = (result: Result<T, StoreFailure>) => {
        isOver = true;
        cancelTimeout();
        resolve(result);
      };
      const cancelTimeout = this.clock.after(timeoutMs, () => {
        withdraw();
        settle(Err({ kind: "unknown", message: "no answer in time" }));
      });
      withdraw = link.transfer(overheadBytes + sizes.request, async () => {
        const result = await this.#call(entry, operation);
        if (isOver) return;
        const bytes = result.ok ? sizes.answerOf(result.val) : 0;
        withdraw = link.transfer(overheadBytes + bytes, () => settle(result));
      });
    });
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(ms, resolve);
    });
  }

  async #call<T>(
    entry: string,
    operation: () => Promise<Result<T, StoreFailure>>,
  ): Promise<Result<T, StoreFailure>> {
    await this.#wait(oneWayDelayMs * this.delayFactor);
    const behavior = this.#behaviors.get(entry) ?? "serves";
    if (behavior === "refuses") {
      return Err(unavailable);
    }
    if (behavior === "rejects") {
      return Err({ kind: "invalid", message: "status 403" });
    }
    if (behavior === "silent") {
      await this.#wait(callTimeoutMs);
      return Err({ kind: "unknown", message: "no answer" });
    }
    const result = await operation();
    await this.#wait(oneWayDelayMs * this.delayFactor);
    // An outage that began during the call also loses the answer.
    if (this.#behaviors.get(entry) === "silent") {
      await this.#wait(callTimeoutMs);
      return Err({ kind: "unknown", message: "no answer" });
    }
    return result;
  }

  async #commit(
    tx: StoreTransaction,
  ): Promise<Result<StoreCommitOutcome, StoreFailure>> {
    const message = rejectionOf(tx);
    if (message !== undefined) return Err({ kind: "invalid", message });
    await this.#wait(commitDurationMs * this.delayFactor);
    const entries = [...tx.checks, ...tx.puts, ...tx.removes];
    if (entries.some(({ partition }) => this.#isPartitionDown?.(partition))) {
      return Err(unavailable);
    }
    if (this.random() < this.lostAnswerShare) {
      const lateDelayMs = this.random() < 0.5
        ? this.random() * maxLateDelayMs
        : 0;
      if (lateDelayMs === 0) this.#apply(tx);
      else this.clock.after(lateDelayMs, () => this.#apply(tx));
      await this.#wait(callTimeoutMs);
      return Err({ kind: "unknown", message: "no answer" });
    }
    return Ok(this.#apply(tx));
  }

  #apply(tx: StoreTransaction): StoreCommitOutcome {
    const currentRows = tx.checks.map((c) => this.#rows.get(rowAddress(c)));
    const checksPass = tx.checks.every((c, i) =>
      (currentRows[i]?.version ?? 0) === c.version
    );
    if (!checksPass) {
      const rows = currentRows.filter((row) => row !== undefined);
      return { kind: "conflict", rows };
    }
    const version = ++this.#version;
    const at = this.clock.now();
    this.#dropOldHistory(at);
    for (const put of tx.puts) {
      const row = { ...put, version };
      this.#rows.set(rowAddress(row), row);
      this.#putCounts.set(put.table, this.putCount(put.table) + 1);
      this.#history.push({ version, at, change: { kind: "put", row } });
    }
    for (const row of tx.removes) {
      if (!this.#rows.delete(rowAddress(row))) continue;
      this.#history.push({ version, at, change: { kind: "removed", row } });
    }
    const wakeCallbacks = [...this.#pendingFeeds];
    this.#pendingFeeds.clear();
    for (const wake of wakeCallbacks) wake();
    return { kind: "committed", version };
  }

  #dropOldHistory(now: number): void {
    const kept = this.#history.findIndex(({ at }) => now - at <= historyMs);
    if (kept <= 0) return;
    this.#compactedVersion = this.#history[kept - 1].version;
    this.#history = this.#history.slice(kept);
  }

  #readPage(
    query: RangeQuery,
    maxRows: number,
  ): Promise<Result<RowPage, StoreFailure>> {
    if (this.#isPartitionDown?.(query.partition)) {
      return Promise.resolve(Err(unavailable));
    }
    const rows = [...this.#rows.values()]
      .filter((row) =>
        row.table === query.table && row.partition === query.partition &&
        (query.from === undefined || row.key >= query.from) &&
        (query.to === undefined || row.key < query.to)
      )
      .sort((a, b) => a.key < b.key ? -1 : 1);
    const truncated = rows.length > maxRows;
    const version = this.#version;
    return Promise.resolve(
      Ok({ rows: rows.slice(0, maxRows), version, truncated }),
    );
  }

  async #feed(
    table: string,
    after: number,
    waitMs: number,
  ): Promise<Result<FeedResult, StoreFailure>> {
    const deadline = this.clock.now() + waitMs;
    for (;;) {
      if (after < this.#compactedVersion) {
        return Err({ kind: "expired", message: "history is gone" });
      }
      const changes = this.#history
        .filter((h) => h.version > after && h.change.row.table === table)
        .map((h) => h.change);
      const remainingMs = deadline - this.clock.now();
      if (changes.length > 0 || remainingMs <= 0) {
        return Ok({ changes, version: this.#version });
      }
      await new Promise<void>((resolve) => {
        const cancel = this.clock.after(remainingMs, resolve);
        this.#pendingFeeds.add(() => {
          cancel();
          resolve();
        });
      });
    }
  }
}
