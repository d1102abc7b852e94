/**
 * A model of the row store: linearizable, with delays, outages for some or
 * all processes, lost answers, late effects, and dropped history.
 */
import { Err, Ok, type Result } from "ts-results";
import type {
  CommitOutcome,
  FeedResult,
  RangeQuery,
  RangeResult,
  Row,
  RowChange,
  RowKey,
  Store,
  StoreFailure,
  Transaction,
} from "../src/store/index.ts";
import type { ProcessClock, VirtualClock } from "./virtual_clock.ts";

/** One way between a process and the store, and a transaction, in ms. */
const oneWayDelayMs = 2;
const commitDurationMs = 5;

/** Time limit of a call, in ms. */
const callTimeoutMs = 1_800;

/** Latest time after a lost call at which it may take effect, in ms. */
const maxLateDelayMs = 5_000;

/** Largest transaction, in entries and in bytes of its base64 values. */
const maxEntries = 100;
const maxBase64Bytes = 1_000_000;

/** What the store does to the calls of a process. */
export type StoreBehavior = "serves" | "refuses" | "silent";

function rowAddress({ table, partition, key }: RowKey): string {
  return `${table}\n${partition}\n${key}`;
}

function isTooLarge({ checks, puts, removes }: Transaction): boolean {
  const valueLength = puts.reduce((sum, put) => sum + put.value.length, 0);
  return checks.length + puts.length + removes.length > maxEntries ||
    valueLength * 4 / 3 > maxBase64Bytes;
}

/** The store, shared by all processes. */
export class ModelStore {
  readonly #rows = new Map<string, Row>();
  #history: { readonly version: number; readonly change: RowChange }[] = [];
  #version = 0;
  #compactedVersion = 0;
  readonly #pendingFeeds = new Set<() => void>();
  readonly #behaviors = new Map<string, StoreBehavior>();
  /** Share of commits whose answer is lost; half of those act late. */
  lostShare = 0;
  /** Factor of all delays. */
  slowness = 1;

  readonly #putCounts = new Map<string, number>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: () => number,
  ) {}

  /** Sets what a process meets. */
  setMood(entry: string, behavior: StoreBehavior): void {
    this.#behaviors.set(entry, behavior);
  }

  /** Drops the history, so that feeds have to start over. */
  compact(): void {
    this.#history = [];
    this.#compactedVersion = this.#version;
  }

  /** Rows of a table that were put so far, each time counted. */
  rowsPut(table: string): number {
    return this.#putCounts.get(table) ?? 0;
  }

  /** All rows of a table. */
  table(name: string): readonly Row[] {
    return [...this.#rows.values()].filter((row) => row.table === name);
  }

  /** Writes as the operator or an endpoint does. */
  write(row: RowKey, value: string | undefined): void {
    this.#apply({
      checks: [],
      puts: value === undefined ? [] : [{ ...row, value }],
      removes: value === undefined ? [row] : [],
    });
  }

  /** The store as one process reaches it. */
  connect(entry: string, process: ProcessClock): Store {
    return {
      commit: (tx) =>
        process.deliver(this.#call(entry, () => this.#commit(tx))),
      range: (query) =>
        process.deliver(this.#call(entry, () => this.#range(query))),
      feed: (table, after, waitMs) =>
        process.deliver(
          this.#call(entry, () => this.#feed(table, after, waitMs)),
        ),
    };
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
    await this.#wait(oneWayDelayMs * this.slowness);
    const behavior = this.#behaviors.get(entry) ?? "serves";
    if (behavior === "refuses") {
      return Err({ kind: "refused", message: "status 503" });
    }
    if (behavior === "silent") {
      await this.#wait(callTimeoutMs);
      return Err({ kind: "unknown", message: "no answer" });
    }
    const result = await operation();
    await this.#wait(oneWayDelayMs * this.slowness);
    // An answer on its way is lost when the process is cut off meanwhile.
    if (this.#behaviors.get(entry) === "silent") {
      await this.#wait(callTimeoutMs);
      return Err({ kind: "unknown", message: "no answer" });
    }
    return result;
  }

  async #commit(tx: Transaction): Promise<Result<CommitOutcome, StoreFailure>> {
    if (isTooLarge(tx)) return Err({ kind: "refused", message: "too large" });
    await this.#wait(commitDurationMs * this.slowness);
    if (this.random() < this.lostShare) {
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

  #apply(tx: Transaction): CommitOutcome {
    const currentRows = tx.checks.map((c) => this.#rows.get(rowAddress(c)));
    const checksPass = tx.checks.every((c, i) =>
      (currentRows[i]?.version ?? 0) === c.version
    );
    if (!checksPass) {
      const rows = currentRows.filter((row) => row !== undefined);
      return { kind: "conflict", rows };
    }
    const version = ++this.#version;
    for (const put of tx.puts) {
      const row = { ...put, version };
      this.#rows.set(rowAddress(row), row);
      this.#putCounts.set(put.table, this.rowsPut(put.table) + 1);
      this.#history.push({ version, change: { kind: "put", row } });
    }
    for (const row of tx.removes) {
      if (!this.#rows.delete(rowAddress(row))) continue;
      this.#history.push({ version, change: { kind: "removed", row } });
    }
    const wakeCallbacks = [...this.#pendingFeeds];
    this.#pendingFeeds.clear();
    for (const wake of wakeCallbacks) wake();
    return { kind: "committed", version };
  }

  #range(query: RangeQuery): Promise<Result<RangeResult, StoreFailure>> {
    const rows = [...this.#rows.values()]
      .filter((row) =>
        row.table === query.table && row.partition === query.partition &&
        (query.from === undefined || row.key >= query.from) &&
        (query.to === undefined || row.key < query.to)
      )
      .sort((a, b) => a.key < b.key ? -1 : 1);
    return Promise.resolve(Ok({ rows, version: this.#version }));
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
